package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/checksumfile"
	"wrenspread/internal/fencing"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

const (
	callTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second // for one write to the endpoint list
	renewalsPerTTL = 3                // of a TTL between two renewals
	maxDesiredFile = 1 << 20
)

// agent is one machine's agent at work.
type agent struct {
	config      Config
	log         *slog.Logger
	registry    *client.Client
	guard       *fencing.Guard
	supervisors map[string]*supervisor
	mu          sync.Mutex // of the file of orders
	address     string
}

// Run keeps the machine's servers until ctx ends. They outlive it: the next agent
// on the same folder takes them up.
func Run(ctx context.Context, c Config, log *slog.Logger) error {
	if err := c.Check(); err != nil {
		return err
	}
	a := &agent{config: c, log: log, supervisors: map[string]*supervisor{}}
	var err error
	if a.registry, err = client.New(client.Config{Addresses: c.List}); err != nil {
		return err
	}
	defer a.registry.Close()
	if a.guard, err = fencing.Open(c.Folder); err != nil {
		return err
	}
	wants, err := a.loadDesired()
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
		out, err := os.OpenFile(filepath.Join(c.Folder, s.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			besteffort.Close(ln)
			return fmt.Errorf("server %s: %w", s.Name, err)
		}
		defer besteffort.Close(out)
		o, ok := wants[s.Name]
		if !ok {
			o = DesiredState{Version: s.Version}
		}
		k := newSupervisor(s, o.Version, filepath.Join(c.Folder, s.Name+".process"), out, log)
		k.status.KeepDraining = o.KeepDraining
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

func (a *agent) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /servers", func(w http.ResponseWriter, _ *http.Request) {
		all := []Status{}
		for _, s := range a.config.Servers {
			status, _ := a.supervisors[s.Name].current()
			all = append(all, status)
		}
		writeJSON(w, all)
	})
	mux.HandleFunc("GET /servers/{name}", func(w http.ResponseWriter, r *http.Request) {
		if k := a.supervisors[r.PathValue("name")]; k != nil {
			status, _ := k.current()
			writeJSON(w, status)
			return
		}
		http.Error(w, "this agent keeps no "+r.PathValue("name"), http.StatusNotFound)
	})
	mux.HandleFunc("PUT /servers/{name}", a.order)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	besteffort.Encode(json.NewEncoder(w).Encode(v)) // a caller that has left needs nothing
}

// order takes the desired state of a server, from the present lease holder alone. It is kept before it is
// carried out, and the same order twice has the effect of one.
func (a *agent) order(w http.ResponseWriter, r *http.Request) {
	k := a.supervisors[r.PathValue("name")]
	if k == nil {
		http.Error(w, "this agent keeps no "+r.PathValue("name"), http.StatusNotFound)
		return
	}
	if r.Header.Get(fencing.Header) == "" {
		http.Error(w, "an order needs a fence: "+fencing.Header+": DUTY NUMBER", http.StatusBadRequest)
		return
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCall))
	var o DesiredState
	if err == nil {
		err = json.Unmarshal(raw, &o)
	}
	if err == nil && (o.Version == "" || len(o.Version) > registry.MaxText) {
		err = fmt.Errorf("version: want 1 to %d bytes", registry.MaxText)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if status, err := a.guard.CheckRequest(r); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	if err := a.storeDesired(k.server.Name, o); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	k.setDesired(o)
	status, _ := k.current()
	writeJSON(w, status)
}

func (a *agent) desiredFile() string { return filepath.Join(a.config.Folder, "orders") }

// loadDesired reads the last desired states of the servers.
func (a *agent) loadDesired() (map[string]DesiredState, error) {
	all := map[string]DesiredState{}
	raw, err := checksumfile.Read(a.desiredFile(), maxDesiredFile)
	if errors.Is(err, os.ErrNotExist) {
		return all, nil
	}
	if err == nil {
		err = json.Unmarshal(raw, &all)
	}
	if err != nil {
		return nil, fmt.Errorf("the orders of before: %w", err)
	}
	return all, nil
}

func (a *agent) storeDesired(server string, o DesiredState) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	all, err := a.loadDesired()
	if err != nil {
		return err
	}
	if all[server] == o {
		return nil
	}
	all[server] = o
	raw, err := json.Marshal(all)
	if err == nil {
		err = checksumfile.Write(a.desiredFile(), raw)
	}
	if err != nil {
		return fmt.Errorf("the order can't be kept: %w", err)
	}
	return nil
}

// maintainEntry keeps a server's entry as the server is: ready, draining while it is to be drained, and gone
// while it does not answer. The list drops it if this agent is lost.
func (a *agent) maintainEntry(ctx context.Context, k *supervisor) {
	var has registry.Endpoint // as it was registered; without a name: it is not
	var told time.Time
	for ctx.Err() == nil {
		status, changed := k.current()
		want := a.endpointOf(k, status)
		var err error
		switch {
		case want != has && want.Name != "":
			if err = a.writeWithTimeout(ctx, func(ctx context.Context) error {
				_, err := a.registry.Register(ctx, want, a.config.TTL, nil)
				return err
			}); err == nil {
				has, told = want, time.Now()
			}
		case want != has:
			if err = a.writeWithTimeout(ctx, func(ctx context.Context) error {
				_, err := a.registry.Remove(ctx, k.server.Name, nil)
				return ignoreNotFound(err)
			}); err == nil {
				has = want
			}
		case has.Name != "" && time.Since(told) >= a.config.TTL/renewalsPerTTL:
			err = a.writeWithTimeout(ctx, func(ctx context.Context) error {
				unknown, err := a.registry.Renew(ctx, []string{k.server.Name})
				if len(unknown) > 0 {
					has = registry.Endpoint{} // it is registered anew
				}
				return err
			})
			told = time.Now()
		}
		if err != nil && ctx.Err() == nil {
			a.log.Warn("registry write failed", "server", k.server.Name, "err", err)
		}
		t := time.NewTimer(a.config.TTL / (2 * renewalsPerTTL))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// endpointOf is the entry that a server is to have; none while it does not answer.
func (a *agent) endpointOf(k *supervisor, s Status) registry.Endpoint {
	switch {
	case s.Running && s.KeepDraining:
		return k.server.entry(registry.Draining, s.Version, s.StartedAtMS)
	case s.Ready:
		return k.server.entry(registry.Ready, s.Version, s.StartedAtMS)
	}
	return registry.Endpoint{}
}

func (a *agent) writeWithTimeout(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return do(ctx)
}

// ignoreNotFound takes an entry that is not there for one that was removed.
func ignoreNotFound(err error) error {
	var refused *client.Error
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// publishRecord keeps this agent's record in the registry, where releases look for it.
func (a *agent) publishRecord(ctx context.Context) {
	card := Record{Machine: a.config.Machine, Address: a.address}
	for _, s := range a.config.Servers {
		card.Servers = append(card.Servers, s.Name)
	}
	raw, err := json.Marshal(card)
	for err == nil && ctx.Err() == nil {
		if e := a.writeWithTimeout(ctx, func(ctx context.Context) error {
			_, err := a.registry.Put(ctx, RecordPrefix+a.config.Machine, raw, nil)
			return err
		}); e == nil {
			return
		} else if ctx.Err() == nil {
			a.log.Warn("publishing the agent's record failed", "err", e)
		}
	}
}
