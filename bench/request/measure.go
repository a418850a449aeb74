package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	benchTargets        = 10
	benchEntries        = 2
	benchSlots          = 8
	benchServiceTime    = 40 * time.Millisecond
	benchDeadline       = 400 * time.Millisecond
	addedLatencyCallers = 64
)

func unlimitedClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 0, DisableCompression: true}}
}

// measureOverload compares the policies at multiples of the capacity.
func measureOverload(o options) error {
	capacity := float64(benchTargets*benchSlots) / benchServiceTime.Seconds()
	fmt.Printf("overload: capacity %.0f/s, deadline %v, half urgent\n", capacity, benchDeadline)
	fmt.Println("load policy       goodput/s  p50 ms  p99 ms  urgent p99  refused  refusal p99 ms  late  urgent refused  (deferred ran)  deferred done")
	for _, load := range o.Loads {
		for _, policy := range []string{"round robin", "daisywall"} {
			d, err := deploy(benchTargets, benchEntries, benchSlots, benchServiceTime, benchDeadline, false)
			if err != nil {
				return err
			}
			client := unlimitedClient()
			do := viaRouters(d)
			if policy == "round robin" {
				do = roundRobin(d, client)
			}
			result := offerLoad(o, d, load*capacity, benchDeadline, true, do)
			printResult(fmt.Sprintf("%3.1fx %-12s", load, policy), result)
			client.CloseIdleConnections()
			d.stop()
		}
	}
	return nil
}

func printResult(label string, result *loadResult) {
	fmt.Printf("%s %9.0f %7.1f %7.1f %11.1f %8d %15.2f %5d %15d %15d %14d\n", label, result.goodput(),
		result.answered.quantileMS(50), result.answered.quantileMS(99), result.urgentAnswered.quantileMS(99), result.refused.histogram.TotalCount(), result.refused.quantileMS(99),
		result.late.Load()+result.unknown.Load(), result.urgentRefused.Load(), result.refusedWhileDeferredRan.Load(), result.deferredAnswered.Load())
	if len(result.reasons) > 0 {
		fmt.Println("     refused by reason:", result.reasons)
	}
}

// measureSlowTarget compares the policies at half of the capacity while one
// target is ten times slower than the others.
func measureSlowTarget(o options) error {
	capacity := float64(benchTargets*benchSlots) / benchServiceTime.Seconds()
	fmt.Println("one of ten targets 10x slow, load 0.5x, deadline 2 s")
	const deadline = 2 * time.Second
	for _, policy := range []string{"round robin", "daisywall", "with hedging"} {
		d, err := deploy(benchTargets, benchEntries, benchSlots, benchServiceTime, deadline, policy == "with hedging")
		if err != nil {
			return err
		}
		d.targets[0].serviceTimeNS.Store(int64(10 * benchServiceTime))
		client := unlimitedClient()
		do := viaRouters(d)
		if policy == "round robin" {
			do = roundRobin(d, client)
		}
		result := offerLoad(o, d, capacity/2, deadline, false, do)
		fmt.Printf("%-12s goodput %6.0f/s p50 %6.1f ms p99 %7.1f ms late %d refused %d\n", policy, result.goodput(),
			result.answered.quantileMS(50), result.answered.quantileMS(99), result.late.Load()+result.unknown.Load(), result.refused.histogram.TotalCount())
		client.CloseIdleConnections()
		d.stop()
	}
	return nil
}

// measureSilence silences every open connection to the agents before a request,
// and measures the time to its response.
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
		latencies, failed := newLatencyRecorder(), 0
		for round := range 20 {
			// These requests add tokens to the retry budget.
			for range 10 {
				if err := do(context.Background(), 0, kind); err != nil {
					failed++
				}
			}
			for _, r := range d.relays {
				r.silenceAll()
			}
			began := time.Now()
			if err := do(context.Background(), round, kind); err != nil {
				failed++
				continue
			}
			latencies.add(time.Since(began))
		}
		fmt.Printf("silent connection, %s: answer after p50 %.0f ms, max %.0f ms; %d failed of 220 (work takes 20 ms)\n",
			kind, latencies.quantileMS(50), latencies.quantileMS(100), failed)
	}
	return nil
}

// measureAddedLatency compares the latency of requests through entry and agent
// with that of requests straight to the targets, in alternating rounds.
func measureAddedLatency(o options) error {
	d, err := deploy(4, 1, addedLatencyCallers, 0, 5*time.Second, false)
	if err != nil {
		return err
	}
	defer d.stop()
	client := unlimitedClient()
	defer client.CloseIdleConnections()
	direct, through := roundRobin(d, client), viaRouters(d)
	fmt.Printf("time added by entry and agent, %d callers\n", addedLatencyCallers)
	for _, perSecond := range []float64{0, 1000} {
		directLatencies, throughLatencies := newLatencyRecorder(), newLatencyRecorder()
		for range o.Rounds {
			closedLoop(o.Duration/time.Duration(o.Rounds), perSecond, direct, directLatencies)
			closedLoop(o.Duration/time.Duration(o.Rounds), perSecond, through, throughLatencies)
		}
		label := "as fast as possible"
		if perSecond > 0 {
			label = fmt.Sprintf("%.0f requests/s", perSecond)
		}
		fmt.Printf("%-20s direct p50 %.3f p99 %.3f ms (%d)  through p50 %.3f p99 %.3f ms (%d)  added p50 %.3f p99 %.3f ms\n", label,
			directLatencies.quantileMS(50), directLatencies.quantileMS(99), directLatencies.histogram.TotalCount(), throughLatencies.quantileMS(50), throughLatencies.quantileMS(99), throughLatencies.histogram.TotalCount(), throughLatencies.quantileMS(50)-directLatencies.quantileMS(50), throughLatencies.quantileMS(99)-directLatencies.quantileMS(99))
	}
	return nil
}

// closedLoop runs callers that each send one request after the other. If
// perSecond is above 0, it is the common rate of all callers.
func closedLoop(duration time.Duration, perSecond float64, send sendFunc, latencies *latencyRecorder) {
	var callers sync.WaitGroup
	end := time.Now().Add(duration)
	pause := time.Duration(0)
	if perSecond > 0 {
		pause = time.Duration(addedLatencyCallers / perSecond * float64(time.Second))
	}
	for caller := range addedLatencyCallers {
		callers.Go(func() {
			time.Sleep(pause * time.Duration(caller) / addedLatencyCallers)
			for n := caller; time.Now().Before(end); n += addedLatencyCallers + 1 {
				began := time.Now()
				if err := send(context.Background(), n, "lookup"); err == nil {
					latencies.add(time.Since(began))
				}
				if remaining := pause - time.Since(began); remaining > 0 {
					time.Sleep(remaining)
				}
			}
		})
	}
	callers.Wait()
}
