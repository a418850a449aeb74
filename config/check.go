package config

import (
	"encoding/json"
	"fmt"

	"github.com/daisywall/daisywall/structs"
)

// checker collects the faults of rules that span several fields. A field that
// the schema has already rejected may be zero, and the rules skip zero fields.
type checker struct {
	faults []structs.Fault
}

func (c *checker) require(satisfied bool, path string, value any, rule string) {
	if satisfied {
		return
	}
	text, err := json.Marshal(value)
	if err != nil {
		text = []byte("?")
	}
	c.faults = append(c.faults, structs.Fault{Path: path, Value: string(text), Rule: rule})
}

// requireUnique reports every name that occurs more than once in a list.
func (c *checker) requireUnique(path, field string, names []string) {
	seen := map[string]int{}
	for i, name := range names {
		first, isDuplicate := seen[name]
		if isDuplicate && name != "" {
			c.require(false, fmt.Sprintf("%s/%d/%s", path, i, field), name, fmt.Sprintf("must be unique, also at %d", first))
			continue
		}
		seen[name] = i
	}
}

// checkConfig returns the faults of rules that span several fields of a
// configuration.
func checkConfig(config *structs.Config) []structs.Fault {
	var c checker
	var ids []string
	for i := range config.Teams {
		ids = append(ids, string(config.Teams[i].ID))
		c.faults = append(c.faults, checkTeam(&config.Teams[i], fmt.Sprintf("/teams/%d", i))...)
	}
	c.requireUnique("/teams", "id", ids)
	return c.faults
}

// checkTeam returns the faults of rules that span several fields of a team.
// Path is the JSON pointer of the team.
func checkTeam(team *structs.TeamConfig, path string) []structs.Fault {
	var c checker
	c.checkRequests(team, path+"/requests")
	c.checkServices(team, path)
	c.checkBatch(team, path+"/batch")
	return c.faults
}

func (c *checker) checkRequests(team *structs.TeamConfig, path string) {
	var names []string
	for i, kind := range team.Requests {
		names = append(names, kind.Name)
		c.require(kind.DeadlineMS <= 0 || kind.Objective.LatencyMS <= kind.DeadlineMS,
			fmt.Sprintf("%s/%d/objective/latency_ms", path, i), kind.Objective.LatencyMS, "must not exceed deadline_ms")
		c.require(kind.DeadlineMS <= 0 || kind.Objective.LatencyMS != 0,
			fmt.Sprintf("%s/%d/objective/latency_ms", path, i), kind.Objective.LatencyMS, "must be above 0 for requests")
	}
	c.requireUnique(path, "name", names)
}

func (c *checker) checkServices(team *structs.TeamConfig, path string) {
	var names []string
	var total structs.Resources
	for i, service := range team.Services {
		names = append(names, service.Name)
		total = total.Add(service.Resources.Scale(int64(service.Instances)))
		c.require(service.Instances <= 0 || service.MinAvailable <= service.Instances,
			fmt.Sprintf("%s/services/%d/minimum", path, i), service.MinAvailable, "must not exceed instances")
	}
	c.requireUnique(path+"/services", "name", names)
	c.require(total.Fits(team.Quota), path+"/quota", team.Quota,
		fmt.Sprintf("must hold all service instances together: %+v", total))
}

func (c *checker) checkBatch(team *structs.TeamConfig, path string) {
	var classes []string
	for i, batch := range team.Batch {
		batchPath := fmt.Sprintf("%s/%d", path, i)
		classes = append(classes, batch.Class)
		c.require(batch.DeadlineMS <= 0 || batch.RunTimeMS <= batch.DeadlineMS,
			batchPath+"/run_time_ms", batch.RunTimeMS, "must not exceed deadline_ms")
		c.require(batch.DeadlineMS <= 0 || batch.Objective.LatencyMS <= batch.DeadlineMS,
			batchPath+"/objective/latency_ms", batch.Objective.LatencyMS, "must not exceed deadline_ms")
		c.require(batch.Resources.Fits(team.Quota), batchPath+"/resources", batch.Resources, "one task must fit the team's quota")
	}
	c.requireUnique(path, "class", classes)
}
