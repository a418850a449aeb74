package membership

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/problem"
	"github.com/daisywall/daisywall/structs"
)

func validTarget() structs.Target {
	return structs.Target{
		ID: "t1", Team: "graz", Kinds: []string{"alert"}, URL: "http://127.0.0.1:9000",
		Incarnation: "1", Slots: 8, Connections: 60,
	}
}

func putTarget(l *LocalTargets, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	l.ServeHTTP(w, httptest.NewRequest(http.MethodPut, path, strings.NewReader(body)))
	return w
}

func TestAnnouncementIsAcceptedOrEveryFaultIsReturned(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		change func(*structs.Target)
		status int
		faults []string
	}{
		{"valid", "/v1/targets/t1", func(*structs.Target) {}, http.StatusNoContent, nil},
		{"other id", "/v1/targets/t2", func(*structs.Target) {}, http.StatusBadRequest, []string{"/id"}},
		{"no team, no slots", "/v1/targets/t1", func(t *structs.Target) { t.Team, t.Slots = "", 0 }, http.StatusBadRequest, []string{"/team", "/slots"}},
		{"no kinds", "/v1/targets/t1", func(t *structs.Target) { t.Kinds = nil }, http.StatusBadRequest, []string{"/kinds"}},
		{"relative URL", "/v1/targets/t1", func(t *structs.Target) { t.URL = "x" }, http.StatusBadRequest, []string{"/url"}},
		{"no incarnation", "/v1/targets/t1", func(t *structs.Target) { t.Incarnation = "" }, http.StatusBadRequest, []string{"/incarnation"}},
		{"too many connections", "/v1/targets/t1", func(t *structs.Target) { t.Connections = 1 << 20 }, http.StatusBadRequest, []string{"/connections"}},
		{"unknown path", "/v1/targets/a/b", func(*structs.Target) {}, http.StatusNotFound, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLocalTargets(LocalOptions{})
			target := validTarget()
			test.change(&target)
			body, _ := json.Marshal(target)
			w := putTarget(l, test.path, string(body))
			is.Equal(w.Code, test.status)
			is.Equal(len(l.Targets()) == 1, test.status == http.StatusNoContent)
			if w.Code == http.StatusNoContent {
				return
			}
			is.Equal(w.Header().Get("Content-Type"), problem.ContentType)
			var details problem.Error
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &details))
			var paths []string
			for _, f := range details.Faults {
				paths = append(paths, f.Path)
			}
			is.Equal(paths, test.faults)
		})
	}
}

func TestTargetExpiresAfterTTLWithoutRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLocalTargets(LocalOptions{})
		is.NoErr(l.Announce(validTarget()))
		time.Sleep(TargetTTL - time.Millisecond)
		is.Equal(len(l.Targets()), 1)
		is.NoErr(l.Announce(validTarget()))
		time.Sleep(TargetTTL - time.Millisecond)
		is.Equal(len(l.Targets()), 1)
		time.Sleep(2 * time.Millisecond)
		is.Equal(len(l.Targets()), 0)
		_, present := l.Target("t1")
		is.True(!present)
	})
}

func TestLeaveRemovesTargetAtOnceAndClosesChanged(t *testing.T) {
	is := is.New(t)
	l := NewLocalTargets(LocalOptions{})
	is.NoErr(l.Announce(validTarget()))
	changed := l.Changed()
	w := httptest.NewRecorder()
	l.ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/v1/targets/t1", nil))
	is.Equal(w.Code, http.StatusNoContent)
	is.Equal(len(l.Targets()), 0)
	<-changed
}

func TestNewIncarnationReplacesTarget(t *testing.T) {
	is := is.New(t)
	l := NewLocalTargets(LocalOptions{})
	is.NoErr(l.Announce(validTarget()))
	changed := l.Changed()
	next := validTarget()
	next.Incarnation = "2"
	is.NoErr(l.Announce(next))
	<-changed
	got, present := l.Target("t1")
	is.True(present)
	is.Equal(got.Incarnation, "2")
}

func FuzzDecodeTarget(f *testing.F) {
	body, _ := json.Marshal(validTarget())
	f.Add("t1", body)
	f.Add("t1", []byte(`{"id":"t1","slots":-1}`))
	f.Add("", []byte(`[`))
	f.Fuzz(func(t *testing.T, id string, body []byte) {
		target, err := DecodeTarget(structs.TargetID(id), body)
		if err == nil && target.ID != structs.TargetID(id) {
			t.Fatalf("target %q decoded for %q", target.ID, id)
		}
		l := NewLocalTargets(LocalOptions{})
		if err == nil && l.Announce(target) == nil && len(l.Targets()) != 1 {
			t.Fatal("an accepted target is not listed")
		}
	})
}
