package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// Events of a drawn crowd.
const (
	crowdAlone     = "alone"
	crowdKills     = "kills"
	crowdUpgrade   = "upgrade"
	crowdSignals   = "signals"
	crowdTerminate = "terminate"
)

// drawnCrowd is a crowd drawn from a seed.
type drawnCrowd struct {
	memoryMB, descriptors, size int
	shapes                      []string
	event                       string
}

func drawCrowd(seed uint64) drawnCrowd {
	random := rand.New(rand.NewPCG(seed, 52))
	shapes := slices.Sorted(maps.Keys(crowdShapes))
	random.Shuffle(len(shapes), func(i, j int) { shapes[i], shapes[j] = shapes[j], shapes[i] })
	descriptors := []int{256, 384, 512, 1024}[random.IntN(4)]
	events := []string{crowdAlone, crowdKills, crowdUpgrade, crowdSignals, crowdTerminate}
	return drawnCrowd{
		memoryMB: []int{leastMemoryMB, leastMemoryMB, 48, 64, 128}[random.IntN(5)], descriptors: descriptors,
		size: descriptors/4 + random.IntN(descriptors/4), shapes: shapes[:1+random.IntN(4)],
		event: events[random.IntN(len(events))],
	}
}

// soakSeeds returns the first seed and the number of seeds of a soak. For long runs they come from the
// environment, as in CROWD_FIRST_SEED and CROWD_SEEDS.
func soakSeeds(soak string) (first, count uint64) {
	first, count = 1, 4
	if n, err := strconv.ParseUint(os.Getenv(soak+"_FIRST_SEED"), 10, 64); err == nil {
		first = n
	}
	if n, err := strconv.ParseUint(os.Getenv(soak+"_SEEDS"), 10, 64); err == nil {
		count = n
	}
	return first, count
}

// TestDrawnCrowdsBreakNoLimit checks crowds of drawn shapes and sizes under drawn limits, with kills,
// upgrades and signals: no process ends by itself or passes its memory limit, no request that must not run
// twice does, and none that a process has taken is lost.
func TestDrawnCrowdsBreakNoLimit(t *testing.T) {
	first, count := soakSeeds("CROWD")
	for seed := first; seed < first+count; seed++ {
		drawn := drawCrowd(seed)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Logf("%+v", drawn)
			p := newLimitedProxy(t, drawn.memoryMB, drawn.descriptors)
			if drawn.event == crowdTerminate {
				p.bindThemselves()
			}
			p.start()
			memory := p.watchMemory()
			stop := make(chan struct{})
			ended := crowd(p.address, drawn.shapes, drawn.size, stop)
			ordinary := ordinaryClients(p.address, stop)
			time.Sleep(crowdTime / 4)
			p.play(t, drawn.event)
			close(stop)
			results := ordinary()
			p.checkLimits(t, memory.peak(), drawn.memoryMB)
			p.checkRuns(t, results)
			p.checkLost(t, results)
			for _, process := range p.all() {
				process.kill()
			}
			ended.Wait()
		})
	}
}

// play plays an event of a drawn crowd.
func (p *limitedProxy) play(t *testing.T, event string) {
	t.Helper()
	running := p.all()[0]
	switch event {
	case crowdKills:
		for range 3 {
			running.kill()
			<-running.ended
			running = p.start()
			time.Sleep(crowdTime / 8)
		}
	case crowdUpgrade:
		p.start()
		running.terminate()
	case crowdSignals:
		for range 5 {
			besteffort.Signal(running.cmd.Process.Signal(syscall.SIGHUP))
			time.Sleep(100 * time.Millisecond)
		}
	case crowdTerminate:
		running.terminate()
		besteffort.Signal(running.cmd.Process.Signal(syscall.SIGTERM))
	}
	time.Sleep(crowdDeadline + 700*time.Millisecond)
	if event == crowdTerminate || event == crowdUpgrade {
		p.all()[0].kill()
	}
}

// checkRuns checks that no ordinary request that must not run twice did.
func (p *limitedProxy) checkRuns(t *testing.T, results []ordinaryResult) {
	t.Helper()
	var twice []string
	for _, r := range results {
		if r.class == "write" && p.backend.runsOf(r.id) > 1 {
			twice = append(twice, r.id)
		}
	}
	if len(twice) > 0 {
		t.Errorf("ran more than once: %s", strings.Join(twice, " "))
	}
}

// checkLost checks that no ordinary request is lost, except for those through which no process lived, as the
// test killed it.
func (p *limitedProxy) checkLost(t *testing.T, results []ordinaryResult) {
	t.Helper()
	var lost []string
	for _, r := range results {
		if r.ended.isLost() && p.livedThrough(r.at, r.at.Add(r.took)) {
			lost = append(lost, fmt.Sprintf("%s after %v: %s", r.id, r.took, r.ended))
		}
	}
	if len(lost) > 0 {
		t.Errorf("%d of %d requests were lost:\n%s", len(lost), len(results), strings.Join(lost, "\n"))
	}
}

// livedThrough reports whether a process ran from one time to another.
func (p *limitedProxy) livedThrough(from, to time.Time) bool {
	return slices.ContainsFunc(p.all(), func(process *limitedProcess) bool {
		return !process.startedAt.After(from) && (process.killedAt.IsZero() || process.killedAt.After(to))
	})
}
