package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Bounds of reading a log.
const (
	maxLine    = 1 << 20 // bytes; longer lines are skipped
	maxContext = 200000  // lines without the request's id that are kept until its time is known
	maxBeside  = 400     // of those, the ones that a story shows
)

// storyMargin is how long before and after a request's own lines the state of
// the fleet is shown.
const storyMargin = 2 * time.Second

// Event is one line of a log.
type Event struct {
	Time    time.Time      `json:"time"`
	Host    string         `json:"host"`
	Message string         `json:"message"`
	Own     bool           `json:"own"` // it names the request; else it tells the state of the fleet
	Fields  map[string]any `json:"fields"`
}

// stateMessages are lines on the state of the fleet that are shown beside a
// request's own, besides warnings and errors.
var stateMessages = map[string]bool{
	"leads": true, "no longer leads": true, "contends": true, "leader found": true, "worker attends": true, "worker left": true,
	"worker draining": true, "runner": true, "runner leaves": true, "operators' rows": true, "reload": true,
}

// hidden are the fields of a line that an event shows elsewhere, or not at all.
var hidden = []string{"ts", "level", "logger", "caller", "msg", "host"}

// Story returns the events of a request, in order, from the logs of all hosts:
// the lines that name its id, and what happened to the fleet meanwhile. Text
// before the JSON of a line is ignored, and so are lines without JSON.
func Story(logs io.Reader, id string) ([]Event, error) {
	var own, beside []Event
	reader := bufio.NewReaderSize(logs, 64<<10)
	for {
		line, err := readLine(reader)
		if event, state, ok := parseLine(line, id); ok {
			switch {
			case event.Own:
				own = append(own, event)
			case state && len(beside) < maxContext:
				beside = append(beside, event)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	return merge(own, beside), nil
}

// readLine returns the next line, empty if it is too long.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, prefix, err := r.ReadLine()
		if len(line) <= maxLine {
			line = append(line, part...)
		}
		if err != nil || !prefix {
			if len(line) > maxLine {
				line = nil
			}
			return line, err
		}
	}
}

// parseLine reads a line. State tells whether it is about the fleet.
func parseLine(line []byte, id string) (event Event, state, ok bool) {
	own := bytes.Contains(line, []byte(id))
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Event{}, false, false
	}
	var fields map[string]any
	if json.Unmarshal(line[start:], &fields) != nil {
		return Event{}, false, false
	}
	text := func(name string) string {
		s, _ := fields[name].(string)
		return s
	}
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", text("ts"))
	if err != nil {
		return Event{}, false, false
	}
	event = Event{Time: at, Host: text("host"), Message: text("msg"), Own: own, Fields: fields}
	_, aboutRun := fields["run"]
	_, aboutJob := fields["job"]
	level := text("level")
	state = !aboutRun && !aboutJob && (level == "warn" || level == "error" || stateMessages[event.Message])
	for _, name := range hidden {
		delete(fields, name)
	}
	return event, state, true
}

// merge orders the events and keeps the fleet's from around the request's.
func merge(own, beside []Event) []Event {
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, func(a, b Event) int { return a.Time.Compare(b.Time) })
	from, to := own[0].Time.Add(-storyMargin), own[len(own)-1].Time.Add(storyMargin)
	shown := 0
	for _, e := range beside {
		if e.Time.After(from) && e.Time.Before(to) && shown < maxBeside {
			own = append(own, e)
			shown++
		}
	}
	slices.SortStableFunc(own, func(a, b Event) int { return a.Time.Compare(b.Time) })
	return own
}

// WriteStory prints events as text, one a line. Lines on the fleet are
// indented.
func WriteStory(w io.Writer, events []Event) error {
	if len(events) == 0 {
		_, err := fmt.Fprintln(w, "no line names it")
		return err
	}
	begin := events[0].Time
	for _, e := range events {
		indent := ""
		if !e.Own {
			indent = "    | "
		}
		if _, err := fmt.Fprintf(w, "%8.3f s  %s%s %s%s\n", e.Time.Sub(begin).Seconds(), indent, e.Host, e.Message, fieldText(e.Fields)); err != nil {
			return fmt.Errorf("write story: %w", err)
		}
	}
	return nil
}

func fieldText(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, fields[name])
	}
	return b.String()
}
