package cell

import (
	"fmt"
	"strings"

	"github.com/daisywall/daisywall/structs"
)

// Prefixes of the rows that this package owns.
const (
	cellPrefix   = "cell/"
	jobPrefix    = "job/"
	domainPrefix = "domain/"
)

func leaderKey(c structs.CellID) string   { return cellPrefix + string(c) + "/leader" }
func snapshotKey(c structs.CellID) string { return cellPrefix + string(c) + "/snapshot" }
func logPrefix(c structs.CellID) string   { return cellPrefix + string(c) + "/log/" }
func inboxPrefix(c structs.CellID) string { return cellPrefix + string(c) + "/inbox/" }

// logKey is the key of one of the rows that hold the log. A row is overwritten
// once its content is part of the snapshot.
func logKey(c structs.CellID, slot int) string { return fmt.Sprintf("%s%06x", logPrefix(c), slot) }

func inboxKey(c structs.CellID, job structs.JobID) string { return inboxPrefix(c) + string(job) }

// cancelKey is the key of the inbox row that requests the cancellation of a
// cell's part of a job.
func cancelKey(c structs.CellID, job structs.JobID) string {
	return inboxKey(c, job) + "/cancel"
}

// handoffKey is the key of the inbox row for tasks that another cell hands
// over.
func handoffKey(to structs.CellID, job structs.JobID, from structs.CellID, seq int64) string {
	return fmt.Sprintf("%s/%s/%x", inboxKey(to, job), from, seq)
}

func jobKey(job structs.JobID) string { return jobPrefix + string(job) }

func statusPrefix(job structs.JobID) string { return jobKey(job) + "/cell/" }

// statusKey is the key of the row in which the leader of a cell publishes the
// status of its part of a job.
func statusKey(job structs.JobID, c structs.CellID) string {
	return statusPrefix(job) + string(c)
}

func domainKey(d structs.FailureDomainID) string { return domainPrefix + string(d) }

// isJobKey reports whether the key is that of a job row and not of a status
// row.
func isJobKey(key string) bool {
	return !strings.Contains(strings.TrimPrefix(key, jobPrefix), "/")
}

// teamJobPrefix is the prefix of one empty row for each job, so that the jobs
// of a team can be listed.
const teamJobPrefix = "team-job/"

func jobsOfTeamPrefix(team structs.TeamID) string { return teamJobPrefix + string(team) + "/" }

func teamJobKey(team structs.TeamID, job structs.JobID) string {
	return jobsOfTeamPrefix(team) + string(job)
}
