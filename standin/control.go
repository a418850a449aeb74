package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/daisywall/daisywall/settings"
	"github.com/daisywall/daisywall/structs"
)

// faultSchema is the JSON schema of FaultSettings.
var faultSchema = settings.MustCompile("fault switches", []byte(`{
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "worker": {"type": "string"},
    "target": {"type": "string"},
    "refuse": {"type": "integer", "minimum": -1},
    "silence": {"type": "integer", "minimum": -1},
    "lose_answer": {"type": "integer", "minimum": -1},
    "fail": {"type": "integer", "minimum": -1},
    "cut": {"type": "integer", "minimum": -1},
    "delay": {"type": "integer", "minimum": -1},
    "delay_ms": {"type": "integer", "minimum": 0},
    "pause": {"type": "boolean"}
  }
}`))

// FaultSettings sets every fault switch of one store, runtime or target. A
// number is the count of calls that the fault applies to, and EveryCall stands
// for all calls. An absent field turns its switch off.
type FaultSettings struct {
	Worker     structs.WorkerID `json:"worker,omitempty"` // runtime to set, empty for all
	Target     structs.TargetID `json:"target,omitempty"` // target to set, empty for all
	Refuse     int              `json:"refuse,omitempty"`
	Silence    int              `json:"silence,omitempty"`
	LoseAnswer int              `json:"lose_answer,omitempty"`
	Fail       int              `json:"fail,omitempty"` // targets only
	Cut        int              `json:"cut,omitempty"`  // targets only
	Delay      int              `json:"delay,omitempty"`
	DelayMS    int64            `json:"delay_ms,omitempty"`
	Pause      bool             `json:"pause,omitempty"`
}

func (s FaultSettings) delay() time.Duration { return time.Duration(s.DelayMS) * time.Millisecond }

// Set replaces all injected faults by those of s.
func (f *Faults) Set(s FaultSettings) {
	f.Refuse(s.Refuse)
	f.Silence(s.Silence)
	f.LoseAnswer(s.LoseAnswer)
	f.Delay(s.delay(), s.Delay)
	if s.Pause {
		f.Pause()
	} else {
		f.Resume()
	}
}

// Set replaces all injected faults by those of s.
func (f *TargetFaults) Set(s FaultSettings) {
	f.Fail(s.Fail)
	f.Silence(s.Silence)
	f.Cut(s.Cut)
	f.Delay(s.delay(), s.Delay)
}

// NewControlHandler returns the HTTP interface of a stand-in process:
//
//	POST /faults/{table|objects|runtime|target}   set switches, body FaultSettings
//	POST /restart/{worker}                        begin a new incarnation of a runtime
//	GET  /history                                 []Event
//	GET  /violations                              []*Violation with the rules capacity and one_run
//	GET  /load                                    Loads
//	GET  /targets/{id}                            TargetRecord
func NewControlHandler(p *Platform, targets map[structs.TargetID]*Target) http.Handler {
	c := &controlHandler{platform: p, targets: targets}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults/{store}", c.setFaults)
	mux.HandleFunc("POST /restart/{worker}", c.restartRuntime)
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.History.Events()) })
	mux.HandleFunc("GET /violations", func(w http.ResponseWriter, _ *http.Request) {
		violations := append([]*Violation{}, p.History.Violations()...)
		writeJSON(w, append(violations, CheckOneRun(p.History.Events())...))
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, Loads{Table: p.Table.Load(), Objects: p.Objects.Load()})
	})
	mux.HandleFunc("GET /targets/{id}", c.getTarget)
	return mux
}

// Loads is the load of the table and of the object store.
type Loads struct {
	Table   Load
	Objects Load
}

type controlHandler struct {
	platform *Platform
	targets  map[structs.TargetID]*Target
}

func (c *controlHandler) setFaults(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var s FaultSettings
	if err := faultSchema.Decode(data, &s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := c.applyFaults(r.PathValue("store"), s); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (c *controlHandler) applyFaults(store string, s FaultSettings) error {
	matched := 0
	switch store {
	case "table":
		c.platform.Table.Faults.Set(s)
		return nil
	case "objects":
		c.platform.Objects.Faults.Set(s)
		return nil
	case "runtime":
		for worker, r := range c.platform.Runtimes {
			if s.Worker == "" || s.Worker == worker {
				r.Faults.Set(s)
				matched++
			}
		}
	case "target":
		for id, t := range c.targets {
			if s.Target == "" || s.Target == id {
				t.Faults.Set(s)
				matched++
			}
		}
	}
	if matched == 0 {
		return &structs.NotFoundError{Subject: "fault switch", Name: store}
	}
	return nil
}

func (c *controlHandler) restartRuntime(w http.ResponseWriter, r *http.Request) {
	runtime, found := c.platform.Runtimes[structs.WorkerID(r.PathValue("worker"))]
	if !found {
		http.NotFound(w, r)
		return
	}
	runtime.Restart()
	w.WriteHeader(http.StatusNoContent)
}

func (c *controlHandler) getTarget(w http.ResponseWriter, r *http.Request) {
	target, found := c.targets[structs.TargetID(r.PathValue("id"))]
	if !found {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, target.Record())
}

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
