package fleet

// goneIncarnation is an incarnation of which the agent has said that it has ended.
type goneIncarnation struct {
	incarnation string
	unstored    int // jobs with runs of it whose release is not stored
}

// acknowledgeGone tells the agent that the incarnation has ended once the release of its runs
// is stored. An agent that stops may stay until then, because a release in the memory of the
// leader is lost with it.
func (l *leader) acknowledgeGone(w *worker, incarnation string, released []*run) {
	if w.gone == nil || w.gone.incarnation != incarnation {
		w.gone = &goneIncarnation{incarnation: incarnation}
	}
	gone, jobs := w.gone, map[*job]bool{}
	for _, r := range released {
		if !jobs[r.job] {
			jobs[r.job] = true
			gone.unstored++
			l.markDirty(r.job, func() {
				gone.unstored--
				w.outbox.ackDue = true
			}, nil)
		}
	}
}

// storedGone returns the incarnation in the last hello whose end is stored, or an empty
// text.
func (w *worker) storedGone() string {
	if w.gone == nil || w.gone.unstored > 0 {
		return ""
	}
	return w.gone.incarnation
}
