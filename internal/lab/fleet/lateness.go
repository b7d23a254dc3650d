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

// Lateness measures the delay of the lab itself: of its timers, and of the sending of operations.
type Lateness struct {
	log       *history.Log
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

const (
	timerInterval = 2 * time.Millisecond
	maxLateness   = int64(10 * time.Second)
)

// NewLateness returns a meter that records its figures in the history.
func NewLateness(log *history.Log) *Lateness {
	return &Lateness{log: log, histogram: hdrhistogram.New(int64(time.Microsecond), maxLateness, 2)}
}

// Add adds one measured delay.
func (l *Lateness) Add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	besteffort.Sample(l.histogram.RecordValue(min(maxLateness, max(0, int64(d)))))
}

// Watch measures the delay of timers until ctx ends, and records an event each second.
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

// record adds an event with the delays since the last event to the history.
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
