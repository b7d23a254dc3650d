package fleet

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
)

// Lateness measures by how much the lab itself is late: how much its timers overrun, and how much later than
// planned operations are sent.
type Lateness struct {
	log       *history.Log
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

const (
	timerInterval = 2 * time.Millisecond
	maxLateness   = int64(10 * time.Second) // longer delays are counted as this value
)

// NewLateness returns a Lateness that records its figures in log while Watch runs.
func NewLateness(log *history.Log) *Lateness {
	return &Lateness{log: log, histogram: hdrhistogram.New(int64(time.Microsecond), maxLateness, 2)}
}

// Add adds one measured delay.
func (l *Lateness) Add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	besteffort.Sample(l.histogram.RecordValue(min(maxLateness, max(0, int64(d)))))
}

// Watch measures the overrun of timers until ctx ends, and adds an event to the history each second.
func (l *Lateness) Watch(ctx context.Context) {
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(timerInterval)
		l.Add(time.Since(before) - timerInterval)
		select {
		case <-second.C:
			l.record()
		default:
		}
	}
}

// record adds an event to the history with the 99th percentile and the maximum of the delays since the
// previous event.
func (l *Lateness) record() {
	l.mu.Lock()
	p99, worst := l.histogram.ValueAtQuantile(99), l.histogram.Max()
	l.histogram.Reset()
	l.mu.Unlock()
	l.log.Add(
		history.Event{Kind: history.Lab, P99: time.Duration(p99), Took: time.Duration(worst), CPU: OwnCPU()},
	)
}

// OwnCPU is the CPU time that the lab's process has used.
func OwnCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
