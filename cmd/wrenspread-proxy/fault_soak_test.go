package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

const (
	soakWarmUp = time.Second // of the clients, before the first signal
	// killSlack and maxKillWait are from the protocol page: SIGKILL follows SIGTERM no sooner than the longest
	// deadline, taken as 3 s where it is longer, plus 0.7 s.
	killSlack   = 700 * time.Millisecond
	maxKillWait = 3 * time.Second

	keptOnly = "only kept" // a crowd of clients that only keep their connections
)

// drawnFaults is a run drawn from a seed: clients that use their connections until the kill, beside faults.
type drawnFaults struct {
	memoryMB, descriptors int
	cores                 float64
	load                  clientLoad
	longest               time.Duration // the longest deadline of the settings
	crowd                 string        // its shape; empty: there is none
	crowdSize             int
	heldUp, quota         bool             // the process is held up now and then, or stands still for want of its share
	signals               []syscall.Signal // in quick succession, before the end
	upgrade               bool             // a second process takes over before the end
	behindTerm            []syscall.Signal // after the SIGTERM that ends the run
}

func pick[T any](random *rand.Rand, choices ...T) T { return choices[random.IntN(len(choices))] }

func drawFaults(seed uint64) drawnFaults {
	random := rand.New(rand.NewPCG(seed, 56))
	longest := time.Duration(pick(random, 200, 300, 600, 1000, 3000)) * time.Millisecond
	drawn := drawnFaults{
		memoryMB: pick(random, 32, 48, 64, 128), descriptors: pick(random, 256, 256, 256, 384, 1024),
		cores: pick(random, 0.3, 0.5, 1), longest: longest,
		load: clientLoad{
			clients:  8 + random.IntN(40),
			pause:    time.Duration(pick(random, 1, 5, 20, 90, 300, 800)) * time.Millisecond,
			split:    time.Duration(pick(random, 0, 0, 5, 100)) * time.Millisecond,
			deadline: max(200*time.Millisecond, longest/time.Duration(pick(random, 1, 1, 2))),
			query:    pick(random, "", "?delay_ms=2", "?delay_ms=10", "?delay_ms=50", "?delay_ms=5000", "?size=200000"),
			classes:  []string{"read", "write", "read", "keyed"},
		},
		heldUp: pick(random, false, false, true), upgrade: pick(random, false, false, true),
		behindTerm: pick(random, nil, []syscall.Signal{syscall.SIGTERM}, []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}),
	}
	drawn.quota = !drawn.heldUp && pick(random, false, true)
	if pick(random, false, true, true) {
		drawn.crowd = pick(random, keptOnly, keptOnly, keptOnly, "silent", "head stops", "body stops")
		drawn.crowdSize = drawn.descriptors/4 + random.IntN(drawn.descriptors)
		drawn.crowdSize = min(drawn.crowdSize, crowdSize)
	}
	for range random.IntN(5) {
		drawn.signals = append(drawn.signals, syscall.SIGHUP)
	}
	return drawn
}

// TestDrawnFaultsLoseNoRequest checks that each taken request gets one answer, in time, up to the kill.
func TestDrawnFaultsLoseNoRequest(t *testing.T) {
	first, count := soakSeeds("FAULT")
	for seed := first; seed < first+count; seed++ {
		drawn := drawFaults(seed)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Logf("%+v", drawn)
			p := newLimitedProxy(t, drawn.memoryMB, drawn.descriptors)
			p.configure(drawn)
			process := p.start()
			stop := make(chan struct{})
			crowded := drawn.startCrowd(p.address, stop)
			results := drawn.load.run(p.address, stop)
			time.Sleep(soakWarmUp)
			p.playSignals(t, process, drawn)
			close(stop)
			all := results()
			crowded.Wait()
			checkFinalAnswers(t, all)
			p.checkRuns(t, all)
			p.checkEnds(t)
			if t.Failed() {
				for _, process := range p.all() {
					t.Logf("killed at %s, the end of its log:\n%s", process.killedAt.Format("05.000"), process.logged())
				}
			}
		})
	}
}

// configure sets the configuration of a drawn run.
func (p *limitedProxy) configure(drawn drawnFaults) {
	p.config["limits"].(map[string]any)["cores"] = drawn.cores
	for _, class := range p.config["settings"].(map[string]any)["classes"].([]any) {
		class.(map[string]any)["give_up_ns"] = drawn.longest
		class.(map[string]any)["aim_ns"] = drawn.longest / 2
	}
	if !drawn.upgrade {
		p.bindThemselves()
	}
}

// startCrowd starts the crowd, if there is one.
func (d drawnFaults) startCrowd(address string, stop <-chan struct{}) (ended *sync.WaitGroup) {
	switch d.crowd {
	case "":
		return &sync.WaitGroup{}
	case keptOnly:
		return keepConnections(address, d.crowdSize, stop)
	}
	return crowd(address, []string{d.crowd}, d.crowdSize, stop)
}

// playSignals plays the faults of a drawn run. In the end all processes have been killed, each as early as
// the protocol page allows.
func (p *limitedProxy) playSignals(t *testing.T, running *limitedProcess, drawn drawnFaults) {
	t.Helper()
	endHold := p.holdUpAs(t, running, drawn)
	for _, s := range drawn.signals {
		besteffort.Signal(running.cmd.Process.Signal(s))
		time.Sleep(20 * time.Millisecond)
	}
	if drawn.upgrade {
		next := p.start()
		endNext := p.holdUpAs(t, next, drawn)
		p.endAtEarliest(running, drawn)
		endHold()
		running, endHold = next, endNext
		besteffort.Close(p.socket) // so that the last process closes it
	}
	p.endAtEarliest(running, drawn)
	endHold()
}

// holdUpAs holds a process up as drawn, until the returned function is called.
func (p *limitedProxy) holdUpAs(t *testing.T, process *limitedProcess, drawn drawnFaults) (end func()) {
	t.Helper()
	if drawn.quota {
		process.limitProcessor(t, drawn.cores)
	}
	if !drawn.heldUp {
		return func() {}
	}
	return process.holdUp()
}

// endAtEarliest sends SIGTERM, and SIGKILL as early as the protocol page allows.
func (p *limitedProxy) endAtEarliest(process *limitedProcess, drawn drawnFaults) {
	terminated := time.Now()
	process.terminate()
	for _, s := range drawn.behindTerm {
		besteffort.Signal(process.cmd.Process.Signal(s))
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(terminated.Add(min(drawn.longest, maxKillWait) + killSlack)))
	process.kill()
	<-process.ended
}

// checkEnds checks that no process has ended by itself before it was told to.
func (p *limitedProxy) checkEnds(t *testing.T) {
	t.Helper()
	for _, process := range p.all() {
		if log := process.logged(); strings.Contains(log, "panic") || process.hasEnded() && !process.killed {
			t.Errorf("the process has ended by itself, or has panicked:\n%s", log)
		}
	}
}
