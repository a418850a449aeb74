package soak

import (
	"fmt"
	"io"
	"math"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisywall/daisywall/standin/crowd"
)

// Limits of one request, from the users' pages and their configuration.
const (
	maxHeadBytes = 16384
	maxBodyBytes = 262144

	maxReportBytes = 4 << 20 // of a runner's report about itself
)

// The tests of this file send crowds to the callers' address of an entry.

func TestCrowdWithHeadsOfShortLines(t *testing.T) {
	head := requestHead(crowd.LengthField(100), crowd.ShortLines(16000)) + "\r\n"
	runCrowd(t, 400, callerAddress, func(conn net.Conn) { crowd.SendAndWait(conn, head) })
}

func TestCrowdWithHeadsOfShortLinesWithoutAnEnd(t *testing.T) {
	head := requestHead(crowd.LengthField(100), crowd.ShortLines(16000))
	runCrowd(t, 400, callerAddress, func(conn net.Conn) { crowd.SendAndWait(conn, head) })
}

func TestCrowdWithHeadsOfOneNameAgainAndAgain(t *testing.T) {
	head := requestHead(crowd.LengthField(100), strings.Repeat("a:\r\n", 16000/4)) + "\r\n"
	runCrowd(t, 800, callerAddress, func(conn net.Conn) { crowd.SendAndWait(conn, head) })
}

func TestCrowdWithHeadsOverTheLimit(t *testing.T) {
	head := requestHead(crowd.ShortLines(65000))
	runCrowd(t, 150, callerAddress, func(conn net.Conn) {
		_, _ = io.WriteString(conn, head)
		crowd.RepeatUntilClosed(conn, "a:\r\n", 20*time.Millisecond)
	})
}

func TestCrowdWithEmptyLinesBeforeARequest(t *testing.T) {
	lines := strings.Repeat("\r\n", 2000)
	runCrowd(t, 150, callerAddress, func(conn net.Conn) { crowd.RepeatUntilClosed(conn, lines, time.Millisecond) })
}

func TestCrowdWithBodiesThatLackTheirLastByte(t *testing.T) {
	request := requestHead(crowd.LengthField(maxBodyBytes)) + "\r\n" + unfinishedBody()
	runCrowd(t, 400, callerAddress, func(conn net.Conn) { crowd.SendAndWait(conn, request) })
}

func TestCrowdWithBodiesInPieces(t *testing.T) {
	request := requestHead(crowd.LengthField(maxBodyBytes)) + "\r\n" + unfinishedBody()
	runCrowd(t, 400, callerAddress, func(conn net.Conn) {
		if crowd.SendInPieces(conn, request, 8<<10, 50*time.Millisecond) == nil {
			crowd.WaitUntilClosed(conn)
		}
	})
}

func TestCrowdWithChunkedBodiesThatLackTheirLastChunk(t *testing.T) {
	head, body := requestHead("Transfer-Encoding: chunked\r\n")+"\r\n", crowd.Chunks(unfinishedBody(), 8<<10)
	runCrowd(t, 400, callerAddress, func(conn net.Conn) {
		if crowd.SendInPieces(conn, head+strings.Join(body, ""), 8<<10, 50*time.Millisecond) == nil {
			crowd.WaitUntilClosed(conn)
		}
	})
}

func TestCrowdWithBodiesForNoQueue(t *testing.T) {
	request := "POST /none HTTP/1.1\r\nHost: h\r\n" + crowd.LengthField(maxBodyBytes) + "\r\n" + unfinishedBody()
	runCrowd(t, 600, callerAddress, func(conn net.Conn) { crowd.SendAndWait(conn, request) })
}

func TestCrowdThatSendsNothing(t *testing.T) {
	runCrowd(t, 600, callerAddress, crowd.WaitUntilClosed)
}

func TestCrowdThatReadsNoAnswers(t *testing.T) {
	runCrowd(t, 600, callerAddress, func(conn net.Conn) {
		crowd.RepeatUntilClosed(conn, strings.Repeat("GET /jobs/ HTTP/1.1\r\nHost: h\r\n\r\n", 20), 50*time.Millisecond)
	})
}

func TestCrowdThatStaysAfterAnAnswer(t *testing.T) {
	runCrowd(t, 600, callerAddress, func(conn net.Conn) { crowd.SendAndWait(conn, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n") })
}

func TestCrowdWithBodiesOfEmptySteps(t *testing.T) {
	runBodyCrowd(t, listBody(`{"steps":[`, `{}`, `]}`))
}

func TestCrowdWithBodiesOfSmallSteps(t *testing.T) {
	runBodyCrowd(t, listBody(`{"steps":[`, `{"count":1,"cpu":1}`, `]}`))
}

func TestCrowdWithBodiesOfRepeatedDependencies(t *testing.T) {
	runBodyCrowd(t, listBody(`{"steps":[{"count":1},{"count":1,"after":[`, `0`, `]}]}`))
}

func TestCrowdWithBodiesOfWrongDependencies(t *testing.T) {
	runBodyCrowd(t, listBody(`{"steps":[{"count":1},{"count":1,"after":[`, `9`, `]}]}`))
}

func TestCrowdWithBodiesOfDifferentWrongDependencies(t *testing.T) {
	var list strings.Builder
	for i := 100; list.Len() < maxBodyBytes-100; i++ {
		fmt.Fprintf(&list, "%d,", i)
	}
	runBodyCrowd(t, `{"steps":[{"count":1},{"count":1,"after":[`+list.String()+`1]}]}`)
}

func TestCrowdWithBodiesOfOneLongNumber(t *testing.T) {
	runBodyCrowd(t, `{"steps":[{"count":`+strings.Repeat("1", maxBodyBytes-100)+`}]}`)
}

func TestCrowdWithBodiesOfNestedLists(t *testing.T) {
	runBodyCrowd(t, strings.Repeat("[", maxBodyBytes))
}

func TestCrowdWithBodiesOfOneLongName(t *testing.T) {
	runBodyCrowd(t, listBody(`{"steps":[{"count":1,"image":"`, strings.Repeat("x", 1000), `"}]}`))
}

// The jobs are valid and as large as a row of the store allows.
func TestCrowdWithLargeJobs(t *testing.T) {
	body := `{"steps":[{"count":1,"cpu":500,"after":[],"requires":"none","image":"` + strings.Repeat("x", 60000) + `"}]}`
	runBodyCrowd(t, body)
}

// The tests below send crowds to the other addresses of the processes.

func TestCrowdAtTheReadinessAddress(t *testing.T) {
	runCrowd(t, 600, func(s *testSystem) string { return listenAddress(s.hosts[workerCount], "ready") }, crowd.WaitUntilClosed)
}

func TestCrowdAtTheMetricsAddress(t *testing.T) {
	head := "GET /metrics HTTP/1.1\r\nHost: h\r\n" + crowd.ShortLines(16000) + "\r\n"
	runCrowd(t, 600, func(s *testSystem) string {
		ports := s.hosts[workerCount].settings["internal_ports"].([]int)
		return fmt.Sprintf("127.0.0.1:%d", ports[1])
	}, func(conn net.Conn) { crowd.SendAndWait(conn, head) })
}

func TestCrowdAtTheReportAddress(t *testing.T) {
	request := "PUT /v1/instances/x HTTP/1.1\r\nHost: h\r\n" + crowd.LengthField(maxReportBytes) + "\r\n" + strings.Repeat(" ", maxReportBytes-1)
	runCrowd(t, 50, func(s *testSystem) string { return listenAddress(s.hosts[0], "control") }, func(conn net.Conn) { crowd.SendAndWait(conn, request) })
}

func TestCrowdWithReportsOfManyLabels(t *testing.T) {
	runReportCrowd(t, `{"labels":[`+strings.Repeat(`"",`, maxReportBytes/3-10)+`""]}`)
}

func TestCrowdWithReportsOfManyFields(t *testing.T) {
	var body strings.Builder
	body.WriteString(`{"0":0`)
	for i := 1; body.Len() < maxReportBytes-20; i++ {
		fmt.Fprintf(&body, `,"%x":0`, i)
	}
	body.WriteString("}")
	runReportCrowd(t, body.String())
}

// runReportCrowd runs a crowd that sends reports of a runner with the body.
func runReportCrowd(t *testing.T, body string) {
	request := "PUT /v1/instances/x HTTP/1.1\r\nHost: h\r\n" + crowd.LengthField(len(body)) + "\r\n" + body
	runCrowd(t, 10, func(s *testSystem) string { return listenAddress(s.hosts[0], "control") }, func(conn net.Conn) { crowd.SendAndWait(conn, request) })
}

// The same from more clients, so that many jobs are on the way to the leader.
func TestCrowdWithManyLargeJobsAtOnce(t *testing.T) {
	body := `{"steps":[{"count":1,"cpu":500,"requires":"none","image":"` + strings.Repeat("x", 60000) + `"}]}`
	runCrowd(t, 300, callerAddress, func(conn net.Conn) { sendBodies(conn, body, 20, 50*time.Millisecond) })
}

// The crowd fills what a leader has for large jobs.
func TestCrowdWithLargeJobsAtAllEntries(t *testing.T) {
	body := `{"steps":[{"count":1,"cpu":500,"requires":"none","image":"` + strings.Repeat("x", 60000) + `"}]}`
	runCrowdFor(t, 20*time.Second, 300, allCallerAddresses, func(conn net.Conn) { sendBodies(conn, body, math.MaxInt, 10*time.Millisecond) })
}

// The jobs of these crowds are valid and accepted, and none of them can start.

func TestCrowdThatHandsInLargeJobsOnAndOn(t *testing.T) {
	runSubmissionCrowd(t, 25*time.Second, `{"steps":[{"count":1,"cpu":500,"requires":"none","image":"`+strings.Repeat("x", 60000)+`"}]}`)
}

func TestCrowdThatHandsInJobsOfManyTasksOnAndOn(t *testing.T) {
	runSubmissionCrowd(t, crowdPeriod, `{"steps":[{"count":500,"cpu":500,"requires":"none"}]}`)
}

// runSubmissionCrowd runs a crowd that hands in jobs with the body without end.
func runSubmissionCrowd(t *testing.T, period time.Duration, body string) {
	target := func(s *testSystem) []string { return []string{callerAddress(s)} }
	runCrowdFor(t, period, 50, target, func(conn net.Conn) { sendBodies(conn, body, math.MaxInt, 10*time.Millisecond) })
}

// runBodyCrowd runs a crowd that sends whole requests with the body.
func runBodyCrowd(t *testing.T, body string) {
	runCrowd(t, 50, callerAddress, func(conn net.Conn) { sendBodies(conn, body, 20, 50*time.Millisecond) })
}

// sendBodies sends requests with the body, with a pause after each, and reads the
// answers until the connection is closed.
func sendBodies(conn net.Conn, body string, requests int, pause time.Duration) {
	var answers sync.WaitGroup
	answers.Go(func() { crowd.WaitUntilClosed(conn) })
	for range requests {
		if crowd.SendInPieces(conn, requestHead(crowd.LengthField(len(body)))+"\r\n"+body, len(body), pause) != nil {
			break
		}
	}
	answers.Wait()
}

// TestCrowdLimitsServeSingleRequests checks that requests as large as the
// limits allow are served when no others compete with them.
func TestCrowdLimitsServeSingleRequests(t *testing.T) {
	s := newSmallSystem(t)
	if !newCallers(s).waitForFirstAccepted(firstJobLimit) {
		t.Fatal("no job was accepted at the start")
	}
	small, large := paddedBody(200), paddedBody(maxBodyBytes)
	lines := crowd.ShortLines(15800)
	for _, c := range []struct {
		name, head, body string
		size             int // of a piece
		pause            time.Duration
	}{
		{"full head", crowd.LengthField(len(small)) + lines, small, 1 << 20, 0},
		{"full head in pieces", crowd.LengthField(len(small)) + lines, small, 200, 20 * time.Millisecond},
		{"full body", crowd.LengthField(len(large)), large, 1 << 20, 0},
		{"full body in pieces", crowd.LengthField(len(large)), large, 4 << 10, 50 * time.Millisecond},
		{"full body in small chunks", "Transfer-Encoding: chunked\r\n", strings.Join(crowd.Chunks(large, 16), "") + "0\r\n\r\n", 1 << 20, 0},
		{"full head and body", crowd.LengthField(len(large)) + lines, large, 64 << 10, 10 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", callerAddress(s))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			head := requestHead(c.head) + "\r\n"
			if len(head) > maxHeadBytes {
				t.Fatalf("the head has %d bytes", len(head))
			}
			if err := crowd.SendInPieces(conn, head+c.body, c.size, c.pause); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(crowdAnswerLimit))
			answer := make([]byte, len("HTTP/1.1 200"))
			if _, err := io.ReadFull(conn, answer); err != nil || string(answer) != "HTTP/1.1 200" {
				t.Errorf("answer %q, %v; want status 200", answer, err)
			}
		})
	}
	s.checkProcesses(t, map[string]int{})
}

// requestHead returns the head of a request for a new job, without the empty
// line that ends it.
func requestHead(fields ...string) string {
	return "POST /jobs/" + randomJobID() + " HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 30000\r\n" + strings.Join(fields, "")
}

// paddedBody returns the body of a valid job with the given size. An unknown
// field, which the entry ignores, fills it.
func paddedBody(size int) string {
	const head, tail = `{"steps":[{"count":1,"cpu":1}],"unknown":"`, `"}`
	return head + strings.Repeat("x", size-len(head)-len(tail)) + tail
}

func unfinishedBody() string { return paddedBody(maxBodyBytes)[:maxBodyBytes-1] }

// listBody returns a body of about the largest size with one item again and
// again.
func listBody(head, item, tail string) string {
	n := (maxBodyBytes - len(head) - len(tail)) / (len(item) + 1)
	return head + strings.TrimSuffix(strings.Repeat(item+",", n), ",") + tail
}
