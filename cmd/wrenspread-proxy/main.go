// Command wrenspread-proxy is one load-balancing proxy. It reads the file that
// GW_CONFIG names, and reads it again on SIGHUP. It serves until SIGTERM or
// SIGINT, finishes what is open and exits with 0. --check says what is wrong
// with such a file, and --help what it is made of.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/proxy"
	"wrenspread/internal/proxy/listener"
)

const bindStep = 50 * time.Millisecond // between two tries to have the clients' address

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "wrenspread-proxy:", err)
		os.Exit(1)
	}
}

func run() error {
	// Never stopped: a second SIGTERM would kill a process that is about to exit with 0.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	hup := make(chan os.Signal, 16) // before all else, as an unheard SIGHUP ends a process
	signal.Notify(hup, syscall.SIGHUP)
	path := os.Getenv("GW_CONFIG")
	if over, err := arguments(os.Args[1:], path, os.Stdout, os.Stderr); over {
		return err
	}
	cfg, err := proxy.LoadConfig(path)
	if err != nil {
		return err
	}
	// The collector works harder well before the machine's limit kills the proxy.
	limitMemory := func(shared bool) {
		mb := cfg.MemoryMB
		if shared { // with another process of this proxy
			mb /= 2
		}
		debug.SetMemoryLimit(int64(mb) << 20 * 3 / 4)
		debug.SetGCPercent(gcPercent(mb))
	}
	limitMemory(false)
	inherited := os.Getenv("GW_ACCEPT_FD")
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", cfg.Name)
	ln, err := listen(ctx, inherited, cfg.Listen, log)
	if err != nil {
		return err
	}
	n := proxy.New(cfg, log)
	if inherited != "" { // then a new process can share the clients' socket
		n.OnOverlap = limitMemory
		n.EnableHandoff(os.TempDir())
	}
	control := cmp.Or(os.Getenv("GW_CONTROL"), cfg.Control) // the environment is this process's own
	// until Run returns: also while it finishes what is open
	operated, end := context.WithCancel(context.Background())
	defer end()
	if control != "" {
		go n.ServeControl(operated, control)
	}
	go reload(operated, hup, path, n, log)
	return n.Run(ctx, ln)
}

// gcPercent lets the heap grow to a fifth of the memory between collections,
// and to no more than four times what is in use: a proxy has a part of a core,
// and what it holds is so small that the usual measure has it collect all the
// time.
func gcPercent(memoryMB int) int { return min(300, max(100, memoryMB*5)) }

// listen returns the clients' socket: the one that the platform holds, or a new one where there is none that
// can be used. The process before this one may still have the address, until it ends.
func listen(ctx context.Context, inherited, address string, log *slog.Logger) (net.Listener, error) {
	if inherited != "" {
		ln, err := listener.Inherited(inherited)
		if err == nil {
			return ln, nil
		}
		log.Error("GW_ACCEPT_FD is not usable", "err", err)
	}
	ln, err := net.Listen("tcp", address)
	if errors.Is(err, syscall.EADDRINUSE) {
		log.Warn("address in use, retrying", "err", err)
	}
	mayRetry := func(until time.Time) bool { return time.Now().Before(until) && backoff.Sleep(ctx, bindStep) }
	for until := time.Now().Add(proxy.MaxBindTime); errors.Is(err, syscall.EADDRINUSE) && mayRetry(until); {
		ln, err = net.Listen("tcp", address)
	}
	return ln, err
}

// reload follows the file until ctx ends. One that can't be used changes
// nothing: a proxy that serves is worth more than one that ends over a typo.
func reload(ctx context.Context, hup <-chan os.Signal, path string, n *proxy.Server, log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		if err := n.ReloadFile(path); err != nil {
			log.Error("configuration rejected, keeping the present one", "err", err)
		}
	}
}
