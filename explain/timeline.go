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

// Limits for reading a log.
const (
	maxLineBytes        = 1 << 20 // longer lines are skipped
	maxFleetEvents      = 200000  // maximum number of fleet events kept in memory until the time span of the request is known
	maxShownFleetEvents = 400     // maximum number of fleet events that a timeline shows
)

// timelineMargin is how long before the first and after the last event of a
// request a timeline shows fleet events.
const timelineMargin = 2 * time.Second

// Event is one line of a log.
type Event struct {
	Time      time.Time      `json:"time"`
	Host      string         `json:"host"`
	Message   string         `json:"message"`
	OfRequest bool           `json:"own"` // true if the line contains the request's ID, false for a fleet event
	Fields    map[string]any `json:"fields"`

	ofFleet bool // true if the line is a change of state of the fleet and names no job or run
}

// stateMessages are the messages of fleet events that a timeline shows in
// addition to warnings and errors.
var stateMessages = map[string]bool{
	"leads": true, "no longer leads": true, "contends": true, "leader found": true, "worker attends": true, "worker left": true,
	"worker draining": true, "runner": true, "runner leaves": true, "operators' rows": true, "reload": true,
}

// omittedFields are the fields of a log line that Event.Fields leaves out.
var omittedFields = []string{"ts", "level", "logger", "caller", "msg", "host"}

// Timeline returns the event timeline of a request from the logs of all hosts.
// It holds the lines that contain the request's ID and the fleet events of the
// same period. Text before the JSON object of a line is ignored, and so are
// lines without one.
func Timeline(logs io.Reader, id string) ([]Event, error) {
	var requestEvents, fleetEvents []Event
	err := readEvents(logs, func(line []byte, event Event) {
		switch {
		case bytes.Contains(line, []byte(id)):
			event.OfRequest = true
			requestEvents = append(requestEvents, event)
		case event.ofFleet && len(fleetEvents) < maxFleetEvents:
			fleetEvents = append(fleetEvents, event)
		}
	})
	if err != nil {
		return nil, err
	}
	return mergeTimeline(requestEvents, fleetEvents), nil
}

// readEvents calls use with each line that holds an event. The line is valid
// only during the call.
func readEvents(logs io.Reader, use func(line []byte, event Event)) error {
	reader := bufio.NewReaderSize(logs, 64<<10)
	for {
		line, err := readLine(reader)
		if event, ok := parseLine(line); ok {
			use(line, event)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
	}
}

// readLine returns the next line, or an empty line in place of one that exceeds
// maxLineBytes.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, prefix, err := r.ReadLine()
		if len(line) <= maxLineBytes {
			line = append(line, part...)
		}
		if err != nil || !prefix {
			if len(line) > maxLineBytes {
				line = nil
			}
			return line, err
		}
	}
}

// parseLine parses a log line.
func parseLine(line []byte) (event Event, ok bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Event{}, false
	}
	var fields map[string]any
	if json.Unmarshal(line[start:], &fields) != nil {
		return Event{}, false
	}
	stringField := func(name string) string {
		s, _ := fields[name].(string)
		return s
	}
	timestamp, err := time.Parse("2006-01-02T15:04:05.000Z0700", stringField("ts"))
	if err != nil {
		return Event{}, false
	}
	event = Event{Time: timestamp, Host: stringField("host"), Message: stringField("msg"), Fields: fields}
	_, hasRun := fields["run"]
	_, hasJob := fields["job"]
	level := stringField("level")
	event.ofFleet = !hasRun && !hasJob && (level == "warn" || level == "error" || stateMessages[event.Message])
	for _, name := range omittedFields {
		delete(fields, name)
	}
	return event, true
}

// mergeTimeline sorts the events by time and adds the fleet events from the
// period of the request.
func mergeTimeline(events, fleetEvents []Event) []Event {
	if len(events) == 0 {
		return nil
	}
	slices.SortStableFunc(events, func(a, b Event) int { return a.Time.Compare(b.Time) })
	from, to := events[0].Time.Add(-timelineMargin), events[len(events)-1].Time.Add(timelineMargin)
	shown := 0
	for _, e := range fleetEvents {
		if e.Time.After(from) && e.Time.Before(to) && shown < maxShownFleetEvents {
			events = append(events, e)
			shown++
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return a.Time.Compare(b.Time) })
	return events
}

// WriteTimeline writes the events as text, one per line. Fleet events are
// indented.
func WriteTimeline(w io.Writer, events []Event) error {
	if len(events) == 0 {
		_, err := fmt.Fprintln(w, "no log line contains the ID of the request")
		return err
	}
	start := events[0].Time
	for _, e := range events {
		indent := ""
		if !e.OfRequest {
			indent = "    | "
		}
		if _, err := fmt.Fprintf(w, "%8.3f s  %s%s %s%s\n", e.Time.Sub(start).Seconds(), indent, e.Host, e.Message, formatFields(e.Fields)); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}

func formatFields(fields map[string]any) string {
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
