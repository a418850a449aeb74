package steps

import (
	"slices"
	"time"
)

// A filling task whose image is unproven beside a service of its worker is a probe.
// A pair of images is probed on one worker at a time, and a worker probes one
// filling image at a time. It answers the load of wide steps with an image that is
// new beside some services: their tasks would disturb the services of many workers
// before the first reading shows it, and readings beside two such images don't tell
// which of them interferes.

const (
	maxProbes    = 1               // workers on which an unproven pair is probed at a time
	maxProbeWait = 2 * time.Second // wait after which a task does not wait for the outcome of other probes
	// MaxProbeTime is how long the outcome of the probes of an image on a worker is
	// awaited. Readings between the ratios for interference and for none decide
	// nothing, however long they last.
	MaxProbeTime = maxProbeWait
)

// probeCounts counts the workers on which each unproven pair is probed. It counts
// when a count is first needed, since in most cycles no filling task finds room.
type probeCounts struct {
	workers      []*Worker
	interference *Interference
	counts       map[imagePair]int // nil until they are needed
}

// of returns the number of workers on which the pair is probed.
func (p *probeCounts) of(pair imagePair) int {
	if p.counts == nil {
		p.counts = map[imagePair]int{}
		for _, w := range p.workers {
			for _, fill := range w.Probes {
				p.add(w, fill)
			}
		}
	}
	return p.counts[pair]
}

// add counts a probe of the filling image on the worker.
func (p *probeCounts) add(w *Worker, fill string) {
	for service := range w.TasksByServiceImage {
		if IsUnproven(p.interference.Probability(service, fill)) {
			p.counts[imagePair{service, fill}]++
		}
	}
}

// mustWaitForProbe reports whether the outcome of a probe is awaited before a task
// of the demand may start on the worker.
func (d *Demand) mustWaitForProbe(w *Worker) bool {
	fill := d.Spec.Image
	switch {
	case d.probes == nil || !w.Unproven(d.interference, fill) || slices.Contains(w.Probes, fill):
		return false
	case len(w.Probes) > 0:
		return true
	}
	for service := range w.TasksByServiceImage {
		if IsUnproven(d.interference.Probability(service, fill)) && d.probes.of(imagePair{service, fill}) >= maxProbes {
			return true
		}
	}
	return false
}

// countProbe adds the image of a filling task that is placed on the worker to its
// probes if the image is unproven there.
func (d *Demand) countProbe(w *Worker) {
	fill := d.Spec.Image
	if d.probes == nil || slices.Contains(w.Probes, fill) || !w.Unproven(d.interference, fill) {
		return
	}
	w.Probes = append(w.Probes, fill)
	if d.probes.counts != nil {
		d.probes.add(w, fill)
	}
}
