package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	benchTargets  = 10
	benchEntries  = 2
	benchSlots    = 8
	benchTakes    = 40 * time.Millisecond
	benchDeadline = 400 * time.Millisecond
	addedCallers  = 64
)

func unlimitedClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 0, DisableCompression: true}}
}

// measureOverload offers multiples of the capacity.
func measureOverload(o options) error {
	capacity := float64(benchTargets*benchSlots) / benchTakes.Seconds()
	fmt.Printf("overload: capacity %.0f/s, deadline %v, half urgent\n", capacity, benchDeadline)
	fmt.Println("load policy       goodput/s  p50 ms  p99 ms  urgent p99  refused  refusal p99 ms  late  urgent refused  (deferred ran)  deferred done")
	for _, load := range o.Loads {
		for _, policy := range []string{"round robin", "daisywall"} {
			d, err := deploy(benchTargets, benchEntries, benchSlots, benchTakes, benchDeadline, false)
			if err != nil {
				return err
			}
			client := unlimitedClient()
			do := viaRouters(d)
			if policy == "round robin" {
				do = roundRobin(d, client)
			}
			out := offer(o, d, load*capacity, benchDeadline, true, do)
			printOutcome(fmt.Sprintf("%3.1fx %-12s", load, policy), out)
			client.CloseIdleConnections()
			d.stop()
		}
	}
	return nil
}

func printOutcome(label string, out *outcome) {
	fmt.Printf("%s %9.0f %7.1f %7.1f %11.1f %8d %15.2f %5d %15d %15d %14d\n", label, out.goodput(),
		out.answered.ms(50), out.answered.ms(99), out.urgent.ms(99), out.refused.h.TotalCount(), out.refused.ms(99),
		out.late.Load()+out.unknown.Load(), out.urgentNo.Load(), out.unjust.Load(), out.deferred.Load())
	if len(out.reasons) > 0 {
		fmt.Println("     refused by reason:", out.reasons)
	}
}

// measureSlowTarget makes one target ten times slower at half of the capacity.
func measureSlowTarget(o options) error {
	capacity := float64(benchTargets*benchSlots) / benchTakes.Seconds()
	fmt.Println("one of ten targets 10x slow, load 0.5x, deadline 2 s")
	const deadline = 2 * time.Second
	for _, policy := range []string{"round robin", "daisywall", "with hedging"} {
		d, err := deploy(benchTargets, benchEntries, benchSlots, benchTakes, deadline, policy == "with hedging")
		if err != nil {
			return err
		}
		d.targets[0].takes.Store(int64(10 * benchTakes))
		client := unlimitedClient()
		do := viaRouters(d)
		if policy == "round robin" {
			do = roundRobin(d, client)
		}
		out := offer(o, d, capacity/2, deadline, false, do)
		fmt.Printf("%-12s goodput %6.0f/s p50 %6.1f ms p99 %7.1f ms late %d refused %d\n", policy, out.goodput(),
			out.answered.ms(50), out.answered.ms(99), out.late.Load()+out.unknown.Load(), out.refused.h.TotalCount())
		client.CloseIdleConnections()
		d.stop()
	}
	return nil
}

// measureSilence lets every connection to one agent go silent while requests
// are at its target, and measures the time to their answers.
func measureSilence(o options) error {
	const deadline = 5 * time.Second
	d, err := deploy(2, 1, benchSlots, 20*time.Millisecond, deadline, false)
	if err != nil {
		return err
	}
	defer d.stop()
	for i := range d.members.list {
		r, err := startRelay(d.members.list[i].Address)
		if err != nil {
			return err
		}
		d.relays = append(d.relays, r)
		d.members.list[i].Address = r.address()
	}
	do := viaRouters(d)
	for _, kind := range []string{"lookup", "alert"} {
		took, failed := newRecorder(), 0
		for round := range 20 {
			// Other traffic earns the retry budget.
			for range 10 {
				if err := do(context.Background(), 0, kind); err != nil {
					failed++
				}
			}
			for _, r := range d.relays {
				r.silence()
			}
			began := time.Now()
			if err := do(context.Background(), round, kind); err != nil {
				failed++
				continue
			}
			took.add(time.Since(began))
		}
		fmt.Printf("silent connection, %s: answer after p50 %.0f ms, max %.0f ms; %d failed of 220 (work takes 20 ms)\n",
			kind, took.ms(50), took.ms(100), failed)
	}
	return nil
}

// measureAdded compares requests through entry and agent with requests sent
// straight to the targets, in alternating rounds.
func measureAdded(o options) error {
	d, err := deploy(4, 1, addedCallers, 0, 5*time.Second, false)
	if err != nil {
		return err
	}
	defer d.stop()
	client := unlimitedClient()
	defer client.CloseIdleConnections()
	direct, through := roundRobin(d, client), viaRouters(d)
	fmt.Printf("time added by entry and agent, %d callers\n", addedCallers)
	for _, perSecond := range []float64{0, 1000} {
		a, b := newRecorder(), newRecorder()
		for range o.Rounds {
			closedLoop(o.Duration/time.Duration(o.Rounds), perSecond, direct, a)
			closedLoop(o.Duration/time.Duration(o.Rounds), perSecond, through, b)
		}
		label := "as fast as possible"
		if perSecond > 0 {
			label = fmt.Sprintf("%.0f requests/s", perSecond)
		}
		fmt.Printf("%-20s direct p50 %.3f p99 %.3f ms (%d)  through p50 %.3f p99 %.3f ms (%d)  added p50 %.3f p99 %.3f ms\n", label,
			a.ms(50), a.ms(99), a.h.TotalCount(), b.ms(50), b.ms(99), b.h.TotalCount(), b.ms(50)-a.ms(50), b.ms(99)-a.ms(99))
	}
	return nil
}

// closedLoop runs callers that send one request after the other, at a common
// rate when one is given.
func closedLoop(duration time.Duration, perSecond float64, do send, took *recorder) {
	var callers sync.WaitGroup
	end := time.Now().Add(duration)
	pause := time.Duration(0)
	if perSecond > 0 {
		pause = time.Duration(addedCallers / perSecond * float64(time.Second))
	}
	for caller := range addedCallers {
		callers.Go(func() {
			time.Sleep(pause * time.Duration(caller) / addedCallers)
			for n := caller; time.Now().Before(end); n += addedCallers + 1 {
				began := time.Now()
				if err := do(context.Background(), n, "lookup"); err == nil {
					took.add(time.Since(began))
				}
				if rest := pause - time.Since(began); rest > 0 {
					time.Sleep(rest)
				}
			}
		})
	}
	callers.Wait()
}
