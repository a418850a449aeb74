package structs

// Target is one process that answers requests, as it announces itself to its
// agent.
type Target struct {
	ID          TargetID `json:"id"`
	Team        TeamID   `json:"team"`
	Kinds       []string `json:"kinds"`       // request kinds that it answers
	URL         string   `json:"url"`         // base URL of its HTTP server
	Incarnation string   `json:"incarnation"` // changes with every start of the process
	Slots       int      `json:"slots"`       // number of requests that it processes concurrently
	Connections int      `json:"connections"` // number of connections that it accepts
}

// Serves reports whether the target answers requests of the kind for the team.
func (t Target) Serves(team TeamID, kind string) bool {
	if t.Team != team {
		return false
	}
	for _, k := range t.Kinds {
		if k == kind {
			return true
		}
	}
	return false
}
