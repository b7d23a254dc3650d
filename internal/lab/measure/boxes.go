// Package measure measures the lab itself: its emulated backends against the brief's
// figures, what its links add, and how much load it can make before it is late.
package measure

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/backend"
	"wrenspread/internal/lab/world"
)

// Kind is what backends of one kind of machine do, in the mean over drawn ones.
type Kind struct {
	Name     string
	Drawn    int
	Stated   float64 // cores times speed: work a second, in seconds on a standard core
	Measured float64 // kept as busy as it has cores
	Still    float64 // share of the time that it stands still, as drawn
	Full     float64 // with all slots taken, over Measured
	Cold     float64 // at its start, over Stated
	Half     float64 // after half of its stated time without work, over Stated
	WarmIdle float64 // seconds until it is warm, without work
	WarmBusy float64 // the same, kept busy
	Tips     float64 // sent so many times what it can do, it falls over
}

// Backends draws that many backends and measures them.
func Boxes(n int) []Kind {
	byName := map[string]*Kind{}
	var order []string
	for seed := range uint64(n) {
		m := world.Draw(seed, 1, 1).Machines[0]
		k := byName[m.Kind]
		if k == nil {
			k = &Kind{Name: m.Kind}
			byName[m.Kind] = k
			order = append(order, m.Kind)
		}
		k.add(m, seed)
	}
	var all []Kind
	for _, name := range order {
		k := byName[name]
		for _, v := range []*float64{&k.Stated, &k.Measured, &k.Still, &k.Full, &k.Cold, &k.Half, &k.WarmIdle, &k.WarmBusy, &k.Tips} {
			*v /= float64(k.Drawn)
		}
		all = append(all, *k)
	}
	return all
}

func (k *Kind) add(m world.Machine, seed uint64) {
	const long = 2 * time.Minute
	busy := rate(m, seed, m.Cores, long)
	k.Drawn++
	k.Stated += m.Capacity()
	k.Measured += busy
	k.Still += m.Pause.Seconds() / (m.PauseEvery + m.Pause).Seconds()
	k.Full += rate(m, seed, m.Slots, long) / busy
	b := backend.New(m, backend.NewPod(time.Second), seed, 0, true)
	k.Cold += b.Capacity(0) / m.Capacity()
	k.Half += b.Capacity(m.ColdTime/2) / m.Capacity()
	k.WarmIdle += m.ColdTime.Seconds()
	k.WarmBusy += warmBusy(m, seed).Seconds()
	k.Tips += tips(m, seed)
}

const (
	jobWork = 50 * time.Millisecond
	look    = 5 * time.Millisecond
)

// keep holds so many jobs at a backend and gives the work done by then.
func keep(
	b *backend.Box,
	jobs int,
	until time.Duration,
	stop func(now time.Duration) bool,
) (done time.Duration) {
	held, num := 0, uint64(0)
	for now := time.Duration(0); now < until && !stop(now); now = min(now+look, max(now+1, b.Next())) {
		outs := b.Tick(now)
		for {
			for _, o := range outs {
				if o.What == backend.Done {
					held--
					done += jobWork
				}
			}
			if held >= jobs {
				break
			}
			held, num = held+1, num+1
			outs = b.Arrive(now, backend.Job{Num: num, Work: jobWork}, 0)
		}
	}
	return done
}

// rate is the work a second of a warm backend that holds so many jobs.
func rate(m world.Machine, seed uint64, jobs int, long time.Duration) float64 {
	m.Choke, m.ErrorRate = world.Choke{}, 0
	b := backend.New(m, backend.NewPod(time.Second), seed, 0, false)
	return keep(b, jobs, long, func(time.Duration) bool { return false }).Seconds() / long.Seconds()
}

func warmBusy(m world.Machine, seed uint64) time.Duration {
	m.Choke, m.ErrorRate = world.Choke{}, 0
	b := backend.New(m, backend.NewPod(time.Second), seed, 0, true)
	var warm time.Duration
	keep(b, m.Cores, time.Minute, func(now time.Duration) bool {
		warm = now
		return b.Capacity(now) >= m.Capacity()
	})
	return warm
}

// tips finds the multiple of its present capacity from which on a cold backend falls over within 2 s.
func tips(m world.Machine, seed uint64) float64 {
	const work = 5 * time.Millisecond
	for times := 2.0; times < 8; times += 0.1 {
		b := backend.New(m, backend.NewPod(time.Second), seed, 0, true)
		for now, i := time.Duration(0), uint64(0); now < 2*time.Second; i++ {
			for _, o := range b.Arrive(now, backend.Job{Num: i, Work: work}, 0) {
				if o.What == backend.Fell {
					return times
				}
			}
			now += time.Duration(float64(work) / (times * b.Capacity(now)))
		}
	}
	return 8
}

// WriteBoxes writes the table.
func WriteBoxes(w io.Writer, kinds []Kind) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	besteffort.Output(
		fmt.Fprintln(
			t,
			"kind\tdrawn\tstated\tmeasured\tstill\tslots full\tcold\tat half time\twarm idle\twarm busy\tfalls at\t",
		),
	)
	for _, k := range kinds {
		besteffort.Output(
			fmt.Fprintf(
				t,
				"%s\t%d\t%.3f\t%.3f\t%.1f%%\t%.2f\t%.2f\t%.2f\t%.1f s\t%.1f s\t%.1f x\t\n",
				k.Name,
				k.Drawn,
				k.Stated,
				k.Measured,
				100*k.Still,
				k.Full,
				k.Cold,
				k.Half,
				k.WarmIdle,
				k.WarmBusy,
				k.Tips,
			),
		)
	}
	return t.Flush()
}
