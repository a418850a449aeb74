package explain

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// plotWidth is the length of the longest bar of the plot.
const plotWidth = 40

// WriteText writes the losses as a table of seconds by queue, a table of counts
// and a bar plot of the total.
func (l *Losses) WriteText(w io.Writer) error {
	rows := append(slices.Clone(l.Queues), l.Total)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "queue\tjobs\topen\tfirst start\tafter stop\tafter loss\trun\tlost in runs\torder\ttotal\t")
	for i := range rows {
		q, t := &rows[i], &rows[i].Time
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", q.Queue, q.Jobs.Completed+q.Jobs.Failed+q.Jobs.Cancelled+q.Jobs.Open, q.Jobs.Open,
			t.FirstStart, t.afterStops(), t.AfterLoss, t.Run, t.lostInRuns(), t.Order, t.total())
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write losses: %w", err)
	}

	fmt.Fprintln(w)
	table = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "queue\tevent\treason\tcount\twait after it")
	for i := range l.Queues {
		l.Queues[i].writeCounts(table)
	}
	fmt.Fprintf(table, "\tleader changes\t\t%d\t\n", l.LeaderChanges)
	fmt.Fprintf(table, "\tlong-running jobs left out\t\t%d\t\n", l.LongRunning)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write losses: %w", err)
	}

	fmt.Fprintln(w)
	return l.Total.Time.writePlot(w)
}

func (q *QueueLosses) writeCounts(w io.Writer) {
	for _, reason := range slices.Sorted(maps.Keys(q.Refused)) {
		fmt.Fprintf(w, "%s\trefused\t%s\t%d\t\n", q.Queue, reason, q.Refused[reason])
	}
	for _, reason := range slices.Sorted(maps.Keys(q.Stops)) {
		fmt.Fprintf(w, "%s\tstopped\t%s\t%d\t%s\n", q.Queue, reason, q.Stops[reason], q.Time.AfterStop[reason])
	}
	for _, reason := range slices.Sorted(maps.Keys(q.Time.AfterStop)) {
		if q.Stops[reason] == 0 {
			fmt.Fprintf(w, "%s\tstopped\t%s\t\t%s\n", q.Queue, reason, q.Time.AfterStop[reason])
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(q.Released)) {
		fmt.Fprintf(w, "%s\treleased\t%s\t%d\t\n", q.Queue, reason, q.Released[reason])
	}
	if q.CopiesStarted > 0 {
		fmt.Fprintf(w, "%s\tcopies started\t\t%d\t\n", q.Queue, q.CopiesStarted)
		fmt.Fprintf(w, "%s\tcopies won\t\t%d\t\n", q.Queue, q.CopiesWon)
	}
}

// lossPart is one part of the time with its name in the plot.
type lossPart struct {
	name string
	time Seconds
}

func (t *LossTimes) parts() []lossPart {
	parts := []lossPart{{"wait for the first start", t.FirstStart}}
	for _, reason := range slices.Sorted(maps.Keys(t.AfterStop)) {
		parts = append(parts, lossPart{"wait after stop: " + reason, t.AfterStop[reason]})
	}
	return append(parts,
		lossPart{"wait after a lost or failed run", t.AfterLoss},
		lossPart{"run", t.Run},
		lossPart{"lost in stopped runs", t.StoppedRun},
		lossPart{"lost in failed runs", t.FailedRun},
		lossPart{"lost in lost runs", t.LostRun},
		lossPart{"order of a start to the end, less the run", t.Order})
}

func sumOf(parts ...Seconds) Seconds {
	var sum Seconds
	for _, part := range parts {
		sum.add(time.Duration(part))
	}
	return sum
}

func (t *LossTimes) afterStops() Seconds {
	return sumOf(slices.Collect(maps.Values(t.AfterStop))...)
}

func (t *LossTimes) lostInRuns() Seconds { return sumOf(t.StoppedRun, t.FailedRun, t.LostRun) }

func (t *LossTimes) total() Seconds {
	return sumOf(t.FirstStart, t.afterStops(), t.AfterLoss, t.Run, t.lostInRuns(), t.Order)
}

func (t *LossTimes) writePlot(w io.Writer) error {
	parts, total, longest := t.parts(), t.total(), Seconds(0)
	for _, part := range parts {
		longest = max(longest, part.time)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, part := range parts {
		share, length := 0.0, 0
		if longest > 0 {
			share = 100 * float64(part.time) / float64(total)
			length = int(math.Ceil(plotWidth * float64(part.time) / float64(longest)))
		}
		fmt.Fprintf(table, "%s\t%s s\t%.0f%%\t%s\n", part.name, part.time, share, strings.Repeat("#", length))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write losses: %w", err)
	}
	return nil
}
