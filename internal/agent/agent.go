package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/fencing"
	"wrenspread/internal/registry/client"
)

const (
	callTimeout         = 5 * time.Second  // for reading a request, and for writing its response
	writeTimeout        = 10 * time.Second // for one write to the registry
	renewalsPerTTL      = 3                // renewals of a registration within its TTL
	maxDesiredFileBytes = 1 << 20
)

// agent is the running agent of one machine.
type agent struct {
	config        Config
	log           *slog.Logger
	registry      *client.Client
	guard         *fencing.Guard
	supervisors   map[string]*supervisor
	desiredFileMu sync.Mutex // guards the file of desired states
	address       string     // address at which the agent is published in the registry
}

// Run supervises the machine's servers until ctx ends. The servers' processes keep running after that; the
// next agent that is started on the same folder adopts them.
func Run(ctx context.Context, c Config, log *slog.Logger) error {
	if err := c.Check(); err != nil {
		return err
	}
	a := &agent{config: c, log: log, supervisors: map[string]*supervisor{}}
	var err error
	if a.registry, err = client.New(client.Config{Addresses: c.Registry}); err != nil {
		return err
	}
	defer a.registry.Close()
	if a.guard, err = fencing.Open(c.Folder); err != nil {
		return err
	}
	desired, err := a.loadDesired()
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if a.address = c.Address; a.address == "" {
		a.address = ln.Addr().String()
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for _, s := range c.Servers {
		output, err := os.OpenFile(
			filepath.Join(c.Folder, s.Name+".log"),
			os.O_CREATE|os.O_WRONLY|os.O_APPEND,
			0o644,
		)
		if err != nil {
			besteffort.Close(ln)
			return fmt.Errorf("server %s: %w", s.Name, err)
		}
		defer besteffort.Close(output)
		state, ok := desired[s.Name]
		if !ok {
			state = DesiredState{Version: s.Version}
		}
		k := newSupervisor(s, state.Version, filepath.Join(c.Folder, s.Name+".process"), output, log)
		k.status.KeepDraining = state.KeepDraining
		a.supervisors[s.Name] = k
	}
	for _, k := range a.supervisors {
		tasks.Go(func() { k.run(ctx) })
		if !k.server.Unlisted {
			tasks.Go(func() { a.maintainEntry(ctx, k) })
		}
	}
	tasks.Go(func() { a.publishRecord(ctx) })
	srv := &http.Server{Handler: a.routes(), ReadTimeout: callTimeout, WriteTimeout: callTimeout}
	stop := context.AfterFunc(ctx, func() { besteffort.Close(srv) })
	defer stop()
	log.Info("serving", "listen", ln.Addr().String(), "servers", len(c.Servers))
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// routes returns the handler of the agent's HTTP interface.
func (a *agent) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /servers", func(w http.ResponseWriter, _ *http.Request) {
		statuses := []Status{}
		for _, s := range a.config.Servers {
			status, _ := a.supervisors[s.Name].current()
			statuses = append(statuses, status)
		}
		writeJSON(w, statuses)
	})
	mux.HandleFunc("GET /servers/{name}", func(w http.ResponseWriter, r *http.Request) {
		if k := a.supervisors[r.PathValue("name")]; k != nil {
			status, _ := k.current()
			writeJSON(w, status)
			return
		}
		http.Error(w, "this agent keeps no "+r.PathValue("name"), http.StatusNotFound)
	})
	mux.HandleFunc("PUT /servers/{name}", a.handleOrder)
	return mux
}

// writeJSON sends v as the response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	besteffort.Encode(json.NewEncoder(w).Encode(v)) // fails only if the caller has closed the connection
}
