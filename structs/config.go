package structs

import "time"

// Urgency separates requests that callers wait for from requests that may be
// deferred.
type Urgency string

// Urgencies of request kinds.
const (
	Urgent   Urgency = "urgent"
	Deferred Urgency = "deferred"
)

// Config is the complete configuration that the platform stores. Each accepted
// change increases Revision by one.
type Config struct {
	Revision int64        `json:"revision"`
	Teams    []TeamConfig `json:"teams"`
}

// TeamConfig is the configuration of one team.
type TeamConfig struct {
	ID       TeamID          `json:"id"`
	Quota    Resources       `json:"quota"`
	Limits   TeamLimits      `json:"limits"`
	Requests []RequestKind   `json:"requests"`
	Services []ServiceConfig `json:"services"`
	Batch    []BatchConfig   `json:"batch"`
}

// TeamLimits bounds the requests of a team at one entry.
type TeamLimits struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	Concurrency       int     `json:"concurrency"`
}

// RequestKind describes one kind of request of a team.
type RequestKind struct {
	Name       string    `json:"name"`
	Urgency    Urgency   `json:"urgency"`
	Idempotent bool      `json:"idempotent"`
	DeadlineMS int64     `json:"deadline_ms"` // default deadline and upper bound
	Objective  Objective `json:"objective"`
}

// Objective is a service-level objective: a share of events that must be good,
// where good means answered within LatencyMS.
type Objective struct {
	Ratio     float64 `json:"ratio"`      // required share of good events, such as 0.999
	LatencyMS int64   `json:"latency_ms"` // longest latency of a good event
	WindowH   int64   `json:"window_h"`   // length of the error budget window in hours
}

// ServiceConfig describes a long-running service of a team.
type ServiceConfig struct {
	Name         string    `json:"name"`
	Program      string    `json:"program"`
	Instances    int32     `json:"instances"`
	MinAvailable int32     `json:"minimum"` // number of instances that keep running during planned moves
	Resources    Resources `json:"resources"`
	RideOutMS    int64     `json:"ride_outage_ms"` // how long leases are renewed while the table is unreachable
}

// BatchConfig describes a class of batch work of a team.
type BatchConfig struct {
	Class       string    `json:"class"`
	Program     string    `json:"program"`
	Resources   Resources `json:"resources"`
	RunTimeMS   int64     `json:"run_time_ms"`
	DeadlineMS  int64     `json:"deadline_ms"` // time from submission to the deadline
	MaxAttempts int32     `json:"max_attempts"`
	RideOutMS   int64     `json:"ride_outage_ms"`
	Objective   Objective `json:"objective"` // share of jobs finished by their deadline
}

// Team returns the configuration of the named team.
func (c *Config) Team(id TeamID) (TeamConfig, error) {
	if c != nil {
		for i := range c.Teams {
			if c.Teams[i].ID == id {
				return c.Teams[i], nil
			}
		}
	}
	return TeamConfig{}, &NotFoundError{Subject: "team", Name: string(id)}
}

// Request returns the named kind of request of the team.
func (t *TeamConfig) Request(name string) (RequestKind, error) {
	for _, k := range t.Requests {
		if k.Name == name {
			return k, nil
		}
	}
	return RequestKind{}, &NotFoundError{Subject: "request kind", Name: name}
}

// BatchClass returns the named class of batch work of the team.
func (t *TeamConfig) BatchClass(class string) (BatchConfig, error) {
	for _, b := range t.Batch {
		if b.Class == class {
			return b, nil
		}
	}
	return BatchConfig{}, &NotFoundError{Subject: "batch class", Name: class}
}

// Deadline returns the default deadline of the kind.
func (k RequestKind) Deadline() time.Duration {
	return time.Duration(k.DeadlineMS) * time.Millisecond
}
