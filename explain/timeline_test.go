package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const timelineLog = `
  4.000 side-1 {"level":"info","ts":"2026-01-01T00:00:04.000Z","logger":"agent","caller":"x.go:1","msg":"start","host":"side-1","run":"aa11/0/0/0#1","worker":"w1"}
  1.000 edge-1 {"level":"info","ts":"2026-01-01T00:00:01.000Z","logger":"entry","caller":"x.go:1","msg":"submitted","host":"edge-1","job":"aa11"}
  3.000 side-1 {"level":"warn","ts":"2026-01-01T00:00:03.000Z","logger":"agent","caller":"x.go:1","msg":"lease lapsed","host":"side-1","worker":"w9"}
  3.100 side-1 {"level":"info","ts":"2026-01-01T00:00:03.100Z","logger":"agent","caller":"x.go:1","msg":"start","host":"side-1","run":"bb22/0/0/0#1"}
 30.000 side-1 {"level":"warn","ts":"2026-01-01T00:00:30.000Z","logger":"agent","caller":"x.go:1","msg":"lease lapsed","host":"side-1","worker":"w8"}
not a line of a log
{"level":"info","msg":"aa11 without a time"}
{"cut off aa11
`

func TestStoryOrdersRequestAndFleetEvents(t *testing.T) {
	is := is.New(t)
	events, err := Timeline(strings.NewReader(timelineLog), "aa11")
	is.NoErr(err)
	is.Equal(len(events), 3)
	is.Equal(events[0].Message, "submitted")
	is.Equal(events[1].Message, "lease lapsed")
	is.True(!events[1].OfRequest)
	is.Equal(events[2].Message, "start")
	var out bytes.Buffer
	is.NoErr(WriteTimeline(&out, events))
	is.True(strings.Contains(out.String(), "3.000 s  side-1 start run=aa11/0/0/0#1 worker=w1"))
}

func TestStoryOfAnUnknownRequestIsEmpty(t *testing.T) {
	is := is.New(t)
	events, err := Timeline(strings.NewReader(timelineLog+strings.Repeat("x", 2*maxLineBytes)), "cc33")
	is.NoErr(err)
	is.Equal(len(events), 0)
}
