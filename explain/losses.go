package explain

import (
	"cmp"
	"io"
	"math"
	"strconv"
	"strings"
	"time"
)

// unknown replaces a queue or a reason that no line of the log names.
const unknown = "(unknown)"

// Seconds is a duration that is encoded as a number of seconds.
type Seconds time.Duration

// MarshalJSON returns the seconds with milliseconds.
func (s Seconds) MarshalJSON() ([]byte, error) { return []byte(s.String()), nil }

// String returns the seconds with milliseconds.
func (s Seconds) String() string {
	return strconv.FormatFloat(time.Duration(s).Seconds(), 'f', 3, 64)
}

// Losses states where the time of the jobs in a log went.
type Losses struct {
	Queues        []QueueLosses `json:"queues"` // in the order of their names
	Total         QueueLosses   `json:"total"`
	LeaderChanges int           `json:"leader_changes"` // of the whole log, also if it is limited to a queue
	LongRunning   int           `json:"long_running"`   // number of long-running jobs, which are left out
}

// QueueLosses is the part of the losses that one queue has.
type QueueLosses struct {
	Queue         string         `json:"queue"`
	Jobs          JobCounts      `json:"jobs"`
	Time          LossTimes      `json:"seconds"`
	Refused       map[string]int `json:"refused"`  // refusals of jobs by reason
	Stops         map[string]int `json:"stops"`    // runs by reason of their first stop
	Released      map[string]int `json:"released"` // runs by reason
	CopiesStarted int            `json:"copies_started"`
	CopiesWon     int            `json:"copies_won"`
}

// JobCounts counts jobs by how they ended. A job that was refused is not in it.
type JobCounts struct {
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Open      int `json:"open"` // no end in the log
}

// LossTimes divides the time of jobs, along the task that ended each step last.
type LossTimes struct {
	FirstStart Seconds            `json:"first_start"` // wait for the first start
	AfterStop  map[string]Seconds `json:"after_stop"`  // wait to run again, by the reason of the stop
	AfterLoss  Seconds            `json:"after_loss"`  // wait to run again after a lost or failed run
	Run        Seconds            `json:"run"`         // in runs that ended their task
	StoppedRun Seconds            `json:"stopped_run"`
	FailedRun  Seconds            `json:"failed_run"`
	LostRun    Seconds            `json:"lost_run"`
	Order      Seconds            `json:"order"` // from the order of a start to the end, less the run
}

// lossLog collects the lines about jobs and runs. The result does not depend on
// the order of the lines, nor on how often one is repeated.
type lossLog struct {
	jobs   map[string]*lossJob
	epochs map[string]bool // leaderships that followed another one
	end    time.Time       // time of the latest line
}

type lossJob struct {
	queue        string
	queueAt      time.Time // time of the line that gave the queue
	acceptedAt   time.Time // first and last acceptance: a refused job may be submitted again
	reacceptedAt time.Time
	endedAt      time.Time
	phase        string // final phase; empty if the log has none
	longRunning  bool
	refusals     map[refusal]bool
	tasks        map[lossTask]map[int]*lossRun
}

type refusal struct {
	reason string
	at     int64 // milliseconds, the resolution of the log
}

type lossTask struct{ round, step, index int }

type lossRun struct {
	number                                   int
	startedAt, endedAt, stoppedAt, releaseAt time.Time // zero if there is no such line
	end                                      string
	ran                                      time.Duration
	stopReason, releaseReason                string
	isCopy, copyWon                          bool
}

// ReadLosses reads log lines and returns where the time of the jobs went. A
// queue other than "" limits the result to this queue. Lines without a JSON
// object are skipped.
func ReadLosses(logs io.Reader, queue string) (Losses, error) {
	collected := newLossLog()
	if err := readEvents(logs, func(_ []byte, event Event) { collected.add(event) }); err != nil {
		return Losses{}, err
	}
	return collected.losses(queue), nil
}

func newLossLog() *lossLog {
	return &lossLog{jobs: map[string]*lossJob{}, epochs: map[string]bool{}}
}

func (l *lossLog) job(id string) *lossJob {
	if l.jobs[id] == nil {
		l.jobs[id] = &lossJob{refusals: map[refusal]bool{}, tasks: map[lossTask]map[int]*lossRun{}}
	}
	return l.jobs[id]
}

// add adds one line of the log.
func (l *lossLog) add(e Event) {
	if e.Time.IsZero() {
		return // the collected times use this value for a line that is missing
	}
	if e.Time.After(l.end) {
		l.end = e.Time
	}
	if id := e.text("job"); id != "" {
		if isJobLine[e.Message] || strings.HasPrefix(e.Message, refusedPrefix) {
			l.job(id).add(e)
		}
		return
	}
	if job, task, number, ok := parseRun(e.text("run")); ok {
		if e.Message == "long-running task is at work late" {
			l.job(job).longRunning = true
			return
		}
		if isRunLine[e.Message] {
			l.job(job).run(task, number).add(e)
		}
		return
	}
	if previous, _ := e.Fields["previous_epoch"].(float64); e.Message == "leads" && previous > 0 {
		l.epochs[strconv.FormatFloat(previous, 'f', -1, 64)] = true
	}
}

// refusedPrefix begins the messages about a job that was refused.
const refusedPrefix = "job refused"

// isJobLine holds the other messages of the lines about a job that lossJob.add
// reads.
var isJobLine = map[string]bool{"job accepted": true, "phase": true, "long-running tasks are pending": true}

// isRunLine holds the messages of the lines about a run that lossRun.add reads.
var isRunLine = map[string]bool{"start": true, "ended": true, "released": true, "stop": true, "copy started": true, "copy won": true}

// add adds a line with the field "job".
func (j *lossJob) add(e Event) {
	if name := e.text("queue"); name != "" && isEarlier(e.Time, name, j.queueAt, j.queue) {
		j.queue, j.queueAt = name, e.Time
	}
	refused, isRefusal := strings.CutPrefix(e.Message, refusedPrefix)
	switch {
	case isRefusal:
		// The reason is a field or a part of the message.
		reason := cmp.Or(e.text("reason"), strings.TrimPrefix(refused, ": "), unknown)
		j.refusals[refusal{reason: reason, at: e.Time.UnixMilli()}] = true
	case e.Message == "job accepted":
		if j.acceptedAt.IsZero() || e.Time.Before(j.acceptedAt) {
			j.acceptedAt = e.Time
		}
		if e.Time.After(j.reacceptedAt) {
			j.reacceptedAt = e.Time
		}
		if longRunning, _ := e.Fields["long_running"].(bool); longRunning {
			j.longRunning = true
		}
	case e.Message == "long-running tasks are pending":
		j.longRunning = true
	case e.Message == "phase":
		to := e.text("to")
		isFinal := to == "completed" || to == "failed" || to == "cancelled"
		if isFinal && isEarlier(e.Time, to, j.endedAt, j.phase) {
			j.phase, j.endedAt = to, e.Time
		}
	}
}

// run returns the run of the task, and adds it if it is not known.
func (j *lossJob) run(task lossTask, number int) *lossRun {
	if j.tasks[task] == nil {
		j.tasks[task] = map[int]*lossRun{}
	}
	if j.tasks[task][number] == nil {
		j.tasks[task][number] = &lossRun{number: number}
	}
	return j.tasks[task][number]
}

// add adds a line about the run. The next leader may log a start, a stop or an
// end again: the earliest line counts.
func (r *lossRun) add(e Event) {
	switch e.Message {
	case "start":
		if r.startedAt.IsZero() || e.Time.Before(r.startedAt) {
			r.startedAt = e.Time
		}
	case "ended":
		if isEarlier(e.Time, e.text("end"), r.endedAt, r.end) {
			r.end, r.endedAt = e.text("end"), e.Time
		}
		// A leader that has not seen the run at work logs 0.
		seconds, _ := e.Fields["ran"].(float64)
		r.ran = max(r.ran, time.Duration(math.Round(min(max(seconds, 0), maxRunSeconds)*1e9)))
	case "released":
		if reason := cmp.Or(e.text("reason"), unknown); isEarlier(e.Time, reason, r.releaseAt, r.releaseReason) {
			r.releaseReason, r.releaseAt = reason, e.Time
		}
	case "stop":
		if reason := cmp.Or(e.text("reason"), unknown); isEarlier(e.Time, reason, r.stoppedAt, r.stopReason) {
			r.stopReason, r.stoppedAt = reason, e.Time
		}
	case "copy started":
		r.isCopy = true
	case "copy won":
		r.isCopy, r.copyWon = true, true
	}
}

// maxRunSeconds is a bound that keeps a malformed run time within the range of
// time.Duration.
const maxRunSeconds = 1e9

// isEarlier reports whether a line replaces the one that is known, whose time is
// zero if there is none. Lines of the same time are ordered by their value, so
// that the order of the lines has no influence.
func isEarlier(t time.Time, value string, known time.Time, knownValue string) bool {
	return known.IsZero() || cmp.Or(t.Compare(known), cmp.Compare(value, knownValue)) < 0
}

// text returns a field of the line that is a string, or "".
func (e Event) text(name string) string {
	s, _ := e.Fields[name].(string)
	return s
}

// parseRun parses the ID of a run, "job/round/step/index#number".
func parseRun(id string) (job string, task lossTask, number int, ok bool) {
	path, tail, found := strings.Cut(id, "#")
	parts := strings.Split(path, "/")
	if !found || len(parts) != 4 || parts[0] == "" {
		return "", lossTask{}, 0, false
	}
	var numbers [4]int
	for i, text := range append(parts[1:], tail) {
		n, err := strconv.ParseInt(text, 10, 32)
		if err != nil || n < 0 {
			return "", lossTask{}, 0, false
		}
		numbers[i] = int(n)
	}
	return parts[0], lossTask{round: numbers[0], step: numbers[1], index: numbers[2]}, numbers[3], true
}
