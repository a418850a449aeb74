package entryapi

import (
	"context"
	"net/http"
	"strconv"

	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/structs"
)

// Domains lists the failure domains and changes their state.
type Domains interface {
	List(ctx context.Context) ([]structs.FailureDomain, error)
	Set(ctx context.Context, id structs.FailureDomainID, state structs.DomainState, reason, by string) error
}

// Config gives access to the configuration and its history.
type Config interface {
	// Current returns the configuration in force at this entry, never nil.
	Current() *structs.Config
	// Committed reads the current configuration from the platform's table.
	Committed(ctx context.Context) (structs.Config, error)
	// Apply commits the change if expected is the current revision, and returns
	// the new revision.
	Apply(ctx context.Context, expected int64, change client.ConfigChange, by string) (int64, error)
	History(ctx context.Context) (any, error)
	// Diff compares two revisions field by field.
	Diff(ctx context.Context, from, to int64) (any, error)
	Rollback(ctx context.Context, to int64, by string) (int64, error)
	// Workers returns the revision in force at each worker, by worker ID.
	Workers() map[string]int64
}

func (s *Server) listDomains(w http.ResponseWriter, r *http.Request) error {
	domains, err := s.Domains.List(r.Context())
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, domains)
}

func (s *Server) setDomain(w http.ResponseWriter, r *http.Request) error {
	var change client.DomainChange
	if r.ContentLength != 0 {
		if err := readJSON(w, r, "failure domain change", maxChangeBody, &change); err != nil {
			return err
		}
	}
	state := structs.DomainState(r.PathValue("state"))
	if state != structs.DomainIn && state != structs.DomainOut {
		return &structs.InvalidError{Subject: "failure domain change", Faults: []structs.Fault{{Path: "state", Value: string(state), Rule: "must be in or out"}}}
	}
	if err := s.Domains.Set(r.Context(), structs.FailureDomainID(r.PathValue("id")), state, change.Reason, operatorName(r)); err != nil {
		return err
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (s *Server) getConfig(w http.ResponseWriter, r *http.Request) error {
	config, err := s.Config.Committed(r.Context())
	if err != nil {
		return err
	}
	w.Header().Set("ETag", strconv.FormatInt(config.Revision, 10))
	return writeJSON(w, http.StatusOK, config)
}

func (s *Server) applyConfig(w http.ResponseWriter, r *http.Request) error {
	match := r.Header.Get("If-Match")
	expected, err := strconv.ParseInt(match, 10, 64)
	if err != nil || expected < 0 {
		return &structs.InvalidError{Subject: "configuration change", Faults: []structs.Fault{{Path: "If-Match", Value: match, Rule: "must be the revision that the change was made from"}}}
	}
	var change client.ConfigChange
	if err := readJSON(w, r, "configuration change", maxConfigBody, &change); err != nil {
		return err
	}
	revision, err := s.Config.Apply(r.Context(), expected, change, operatorName(r))
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, client.ConfigRevision{Revision: revision})
}

func (s *Server) configStatus(w http.ResponseWriter, r *http.Request) error {
	committed, err := s.Config.Committed(r.Context())
	if err != nil {
		return err
	}
	status := client.ConfigStatus{Committed: committed.Revision, Entry: s.Config.Current().Revision, Workers: s.Config.Workers()}
	for worker, revision := range status.Workers {
		if revision < committed.Revision {
			status.Lagging = append(status.Lagging, worker)
		}
	}
	return writeJSON(w, http.StatusOK, status)
}

func (s *Server) configHistory(w http.ResponseWriter, r *http.Request) error {
	history, err := s.Config.History(r.Context())
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, history)
}

func (s *Server) rollbackConfig(w http.ResponseWriter, r *http.Request) error {
	var request client.RollbackRequest
	if err := readJSON(w, r, "rollback", maxChangeBody, &request); err != nil {
		return err
	}
	revision, err := s.Config.Rollback(r.Context(), request.To, operatorName(r))
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, client.ConfigRevision{Revision: revision})
}

func (s *Server) configDiff(w http.ResponseWriter, r *http.Request) error {
	from, err := parseRevision(r, "from")
	if err != nil {
		return err
	}
	to, err := parseRevision(r, "to")
	if err != nil {
		return err
	}
	diff, err := s.Config.Diff(r.Context(), from, to)
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, diff)
}

func parseRevision(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return 0, &structs.InvalidError{Subject: "query", Faults: []structs.Fault{{Path: name, Value: text, Rule: "must be a revision"}}}
	}
	return revision, nil
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) error {
	report, err := s.Explain.Explain(r.Context(), r.PathValue("subject"), r.PathValue("id"))
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(report)
	return nil
}

func (s *Server) renderBurnReport(w http.ResponseWriter, r *http.Request) error {
	format := r.URL.Query().Get("format")
	if format == "" {
		format = "text"
	}
	body, contentType, err := s.Burn.Render(r.Context(), format)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(body)
	return nil
}

func (s *Server) listTargets(w http.ResponseWriter, _ *http.Request) error {
	return writeJSON(w, http.StatusOK, s.Targets())
}
