package measure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/client"
	"wrenspread/internal/lab/fleet"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/load"
	"wrenspread/internal/lab/world"
)

const (
	roundTripCount = 5000
	messageBytes   = 300 // about the size of a request
)

// RoundTrip holds quantiles of the duration of round trips.
type RoundTrip struct{ P50, P99 time.Duration }

// Delay measures round trips on a direct connection, and on a connection over an idle link.
func Delay() (direct, linked RoundTrip, err error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return direct, linked, err
	}
	defer besteffort.Close(ln)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer besteffort.Close(c); besteffort.Drained(io.Copy(c, c)) }()
		}
	}()
	n := link.NewNet(1)
	defer n.Close()
	linkAddress, err := n.Connect(link.Ends{From: "a", To: "b"}, ln.Addr().String())
	if err != nil {
		return direct, linked, err
	}
	if direct, err = measureRoundTrips(ln.Addr().String()); err != nil {
		return direct, linked, err
	}
	linked, err = measureRoundTrips(linkAddress)
	return direct, linked, err
}

// measureRoundTrips measures round trips to an echo server.
func measureRoundTrips(address string) (RoundTrip, error) {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return RoundTrip{}, err
	}
	defer besteffort.Close(c)
	h := hdrhistogram.New(1000, int64(time.Minute), 3)
	reader, buffer := bufio.NewReader(c), make([]byte, messageBytes)
	for range roundTripCount {
		before := time.Now()
		if _, err := c.Write(buffer); err != nil {
			return RoundTrip{}, err
		}
		if _, err := io.ReadFull(reader, buffer); err != nil {
			return RoundTrip{}, err
		}
		besteffort.Sample(h.RecordValue(int64(time.Since(before))))
	}
	return RoundTrip{time.Duration(h.ValueAtQuantile(50)), time.Duration(h.ValueAtQuantile(99))}, nil
}

// Step holds the results of the lab at one rate of load.
type Step struct {
	Rate  float64       // operations per second
	P99   time.Duration // 99th percentile of the lab's lateness, in its worst second
	Cores float64       // processor cores that the lab used, including the answering server
	Ended int           // operations that ended
}

// stepLength is the time for which each rate is applied.
const stepLength = 3 * time.Second

// Lateness measures how late the lab is under load over a link to a server that answers at once. It doubles
// the rate, beginning at firstRate, until the lab is later than bound or the rate exceeds maxRate.
func Lateness(ctx context.Context, firstRate, maxRate float64, bound time.Duration) ([]Step, error) {
	var steps []Step
	for rate := firstRate; rate <= maxRate; rate *= 2 {
		s, err := runStep(ctx, rate)
		if err != nil {
			return steps, err
		}
		steps = append(steps, s)
		if s.P99 > bound {
			break
		}
	}
	return steps, nil
}

// runStep measures the lab's lateness at one rate.
func runStep(ctx context.Context, rate float64) (Step, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return Step{}, err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		besteffort.Response(io.WriteString(w, r.Header.Get("X-Request-Id")+" s0"))
	})}
	var serving sync.WaitGroup
	serving.Add(1)
	go func() { defer serving.Done(); _ = srv.Serve(ln) }() // returns when srv is closed
	defer serving.Wait()
	defer besteffort.Close(srv)
	n := link.NewNet(1)
	defer n.Close()
	address, err := n.Connect(link.Ends{From: "clients", To: "n0"}, ln.Addr().String())
	if err != nil {
		return Step{}, err
	}
	log, err := history.New("")
	if err != nil {
		return Step{}, err
	}
	w := world.Draw(1, 1, 1)
	front := client.NewFront(time.Minute)
	front.Add("n0", w.Zones[0], address)
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	lateness := fleet.NewLateness(log)
	go lateness.Watch(watchCtx)
	go front.Watch(watchCtx)
	for front.Admitted() == 0 {
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return Step{}, ctx.Err()
		}
	}
	ops := load.Draw(1, w, load.Shape{Rate: rate, Length: stepLength})
	clients := client.New(log, front, load.NewRequestIndex(), 1)
	clients.Late = lateness.Add
	began, cpuBefore := log.Now(), fleet.OwnCPU()
	clients.Run(ctx, began, ops)
	took := log.Now() - began
	s := Step{Rate: rate, Cores: float64(fleet.OwnCPU()-cpuBefore) / float64(took)}
	for _, e := range log.Events() {
		switch e.Kind {
		case history.Lab:
			s.P99 = max(s.P99, e.P99)
		case history.Over:
			s.Ended++
		}
	}
	return s, ctx.Err()
}

// WriteCost measures the delay that links add and the lateness of the lab, and writes the results.
func WriteCost(ctx context.Context, w io.Writer) error {
	direct, linked, err := Delay()
	if err != nil {
		return fmt.Errorf("measure links: %w", err)
	}
	besteffort.Output(
		fmt.Fprintf(w, "round trip of %d bytes, %d times: median and 99th percentile\n",
			messageBytes, roundTripCount),
	)
	besteffort.Output(
		fmt.Fprintf(
			w,
			"  straight            %v  %v\n  over an idle link   %v  %v\n",
			direct.P50,
			direct.P99,
			linked.P50,
			linked.P99,
		),
	)
	steps, err := Lateness(ctx, 500, 64000, 5*time.Millisecond)
	if err != nil {
		return fmt.Errorf("measure lateness: %w", err)
	}
	besteffort.Output(
		fmt.Fprintln(w, "operations a second, over a link, to one in the lab's own process that answers at once:"),
	)
	for _, s := range steps {
		besteffort.Output(
			fmt.Fprintf(
				w,
				"  %6.0f: late by %v at the 99th percentile of the worst second, %.2f cores\n",
				s.Rate,
				s.P99.Round(10*time.Microsecond),
				s.Cores,
			),
		)
	}
	return nil
}
