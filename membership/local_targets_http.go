package membership

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/daisywall/daisywall/httplimit"
	"github.com/daisywall/daisywall/problem"
	"github.com/daisywall/daisywall/structs"
)

// TargetsPath is the path below which LocalTargets serves requests.
const TargetsPath = "/v1/targets/"

// ServeHTTP answers PUT (announce or refresh) and DELETE (leave) of
// /v1/targets/{id}.
func (l *LocalTargets) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, ok := strings.CutPrefix(r.URL.Path, TargetsPath)
	if !ok || id == "" || strings.Contains(id, "/") {
		problem.Write(w, &structs.NotFoundError{Subject: "path", Name: r.URL.Path}, "")
		return
	}
	switch r.Method {
	case http.MethodPut:
		l.put(w, r, structs.TargetID(id))
	case http.MethodDelete:
		l.Leave(structs.TargetID(id))
		w.WriteHeader(http.StatusNoContent)
	default:
		w.Header().Set("Allow", "PUT, DELETE")
		problem.Write(w, &problem.Error{
			Type: problem.TypeInvalid, Title: "Method not allowed", Status: http.StatusMethodNotAllowed,
		}, "")
	}
}

func (l *LocalTargets) put(w http.ResponseWriter, r *http.Request, id structs.TargetID) {
	body, err := httplimit.ReadBody(r.Context(), w, r, maxAnnouncementBytes)
	if err != nil {
		problem.Write(w, err, "")
		return
	}
	target, err := DecodeTarget(id, body)
	if err == nil {
		err = l.Announce(target)
	}
	if err != nil {
		problem.Write(w, err, "")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// DecodeTarget reads the JSON announcement of the target called id. It returns
// *structs.InvalidError if the announcement has faults.
func DecodeTarget(id structs.TargetID, body []byte) (structs.Target, error) {
	var target structs.Target
	if err := json.Unmarshal(body, &target); err != nil {
		return structs.Target{}, &structs.InvalidError{Subject: "target", Faults: []structs.Fault{
			{Path: "/", Value: strconv.Itoa(len(body)) + " bytes", Rule: "must be the JSON of a target: " + structs.DecodeFault(err).Rule},
		}}
	}
	if target.ID == "" {
		target.ID = id
	}
	if target.ID != id {
		return structs.Target{}, &structs.InvalidError{Subject: "target", Faults: []structs.Fault{
			{Path: "/id", Value: string(target.ID), Rule: "must equal the ID in the path"},
		}}
	}
	return target, nil
}

// checkTarget returns every broken rule of an announcement.
func checkTarget(t structs.Target) []structs.Fault {
	var faults []structs.Fault
	fault := func(path, value, rule string) {
		faults = append(faults, structs.Fault{Path: path, Value: value, Rule: rule})
	}
	if t.ID == "" || strings.Contains(string(t.ID), "/") {
		fault("/id", string(t.ID), "must be a name without a slash")
	}
	if t.Team == "" {
		fault("/team", "", "must be named")
	}
	if len(t.Kinds) == 0 {
		fault("/kinds", "[]", "must name at least one kind")
	}
	for i, kind := range t.Kinds {
		if kind == "" {
			fault(fmt.Sprintf("/kinds/%d", i), "", "must be named")
		}
	}
	u, err := url.Parse(t.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		fault("/url", t.URL, "must be an absolute http or https URL")
	}
	if t.Incarnation == "" {
		fault("/incarnation", "", "must be set")
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		fault("/slots", strconv.Itoa(t.Slots), fmt.Sprintf("must be from 1 to %d", maxSlots))
	}
	if t.Connections < 1 || t.Connections > maxConnections {
		fault("/connections", strconv.Itoa(t.Connections), fmt.Sprintf("must be from 1 to %d", maxConnections))
	}
	return faults
}
