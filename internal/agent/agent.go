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

	"wrenspread/internal/checksumfile"
	"wrenspread/internal/fencing"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

const (
	callTime  = 5 * time.Second
	writeTime = 10 * time.Second // for one write to the list
	renewPart = 3                // of a TTL between two renewals
	maxWants  = 1 << 20
)

// agent is one machine's agent at work.
type agent struct {
	c       Config
	log     *slog.Logger
	list    *client.Client
	guard   *fencing.Guard
	keeps   map[string]*keeping
	mu      sync.Mutex // of the file of orders
	address string
}

// Run keeps the machine's servers until ctx ends. They outlive it: the next agent
// on the same folder takes them up.
func Run(ctx context.Context, c Config, log *slog.Logger) error {
	if err := c.Check(); err != nil {
		return err
	}
	a := &agent{c: c, log: log, keeps: map[string]*keeping{}}
	var err error
	if a.list, err = client.New(client.Config{Addresses: c.List}); err != nil {
		return err
	}
	defer a.list.Close()
	if a.guard, err = fencing.Open(c.Folder); err != nil {
		return err
	}
	wants, err := a.wants()
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
			ln.Close()
			return fmt.Errorf("server %s: %w", s.Name, err)
		}
		defer out.Close()
		o, ok := wants[s.Name]
		if !ok {
			o = Order{Version: s.Version}
		}
		k := newKeeping(s, o.Version, filepath.Join(c.Folder, s.Name+".process"), out, log)
		k.status.Quiet = o.Quiet
		a.keeps[s.Name] = k
	}
	for _, k := range a.keeps {
		tasks.Go(func() { k.run(ctx) })
		if !k.s.Unlisted {
			tasks.Go(func() { a.listed(ctx, k) })
		}
	}
	tasks.Go(func() { a.announce(ctx) })
	srv := &http.Server{Handler: a.routes(), ReadTimeout: callTime, WriteTimeout: callTime}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
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
		for _, s := range a.c.Servers {
			status, _ := a.keeps[s.Name].get()
			all = append(all, status)
		}
		answer(w, all)
	})
	mux.HandleFunc("GET /servers/{name}", func(w http.ResponseWriter, r *http.Request) {
		if k := a.keeps[r.PathValue("name")]; k != nil {
			status, _ := k.get()
			answer(w, status)
			return
		}
		http.Error(w, "this agent keeps no "+r.PathValue("name"), http.StatusNotFound)
	})
	mux.HandleFunc("PUT /servers/{name}", a.order)
	return mux
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v) // a caller that has left needs nothing
}

// order takes what a server is to be, from the present holder of a duty alone. It
// is kept before it is carried out, and the same order twice has the effect of one.
func (a *agent) order(w http.ResponseWriter, r *http.Request) {
	k := a.keeps[r.PathValue("name")]
	if k == nil {
		http.Error(w, "this agent keeps no "+r.PathValue("name"), http.StatusNotFound)
		return
	}
	if r.Header.Get(fencing.Header) == "" {
		http.Error(w, "an order needs a fence: "+fencing.Header+": DUTY NUMBER", http.StatusBadRequest)
		return
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCall))
	var o Order
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
	if err := a.keep(k.s.Name, o); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	k.want(o)
	status, _ := k.get()
	answer(w, status)
}

func (a *agent) file() string { return filepath.Join(a.c.Folder, "orders") }

// wants reads what the servers were last ordered to be.
func (a *agent) wants() (map[string]Order, error) {
	all := map[string]Order{}
	raw, err := checksumfile.Read(a.file(), maxWants)
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

func (a *agent) keep(server string, o Order) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	all, err := a.wants()
	if err != nil {
		return err
	}
	if all[server] == o {
		return nil
	}
	all[server] = o
	raw, err := json.Marshal(all)
	if err == nil {
		err = checksumfile.Write(a.file(), raw)
	}
	if err != nil {
		return fmt.Errorf("the order can't be kept: %w", err)
	}
	return nil
}

// listed keeps a server's entry as the server is: ready, draining while it is to be
// quiet, and gone while it does not answer. The list drops it if this agent is lost.
func (a *agent) listed(ctx context.Context, k *keeping) {
	var has registry.Endpoint // as it was registered; without a name: it is not
	var told time.Time
	for ctx.Err() == nil {
		status, changed := k.get()
		want := a.entryOf(k, status)
		var err error
		switch {
		case want != has && want.Name != "":
			if err = a.write(ctx, func(ctx context.Context) error { _, err := a.list.Register(ctx, want, a.c.TTL, nil); return err }); err == nil {
				has, told = want, time.Now()
			}
		case want != has:
			if err = a.write(ctx, func(ctx context.Context) error { _, err := a.list.Remove(ctx, k.s.Name, nil); return gone(err) }); err == nil {
				has = want
			}
		case has.Name != "" && time.Since(told) >= a.c.TTL/renewPart:
			err = a.write(ctx, func(ctx context.Context) error {
				unknown, err := a.list.Renew(ctx, []string{k.s.Name})
				if len(unknown) > 0 {
					has = registry.Endpoint{} // it is registered anew
				}
				return err
			})
			told = time.Now()
		}
		if err != nil && ctx.Err() == nil {
			a.log.Warn("the list does not take it", "server", k.s.Name, "err", err)
		}
		t := time.NewTimer(a.c.TTL / (2 * renewPart))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// entryOf is the entry that a server is to have; none while it does not answer.
func (a *agent) entryOf(k *keeping, s Status) registry.Endpoint {
	switch {
	case s.Running && s.Quiet:
		return k.s.entry(registry.Draining, s.Version, s.Since)
	case s.Ready:
		return k.s.entry(registry.Ready, s.Version, s.Since)
	}
	return registry.Endpoint{}
}

func (a *agent) write(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	return do(ctx)
}

// gone takes an entry that is not there for one that was removed.
func gone(err error) error {
	var refused *client.Error
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// announce keeps this agent's record in the list service, where releases look for it.
func (a *agent) announce(ctx context.Context) {
	card := Card{Machine: a.c.Machine, Address: a.address}
	for _, s := range a.c.Servers {
		card.Servers = append(card.Servers, s.Name)
	}
	raw, err := json.Marshal(card)
	for err == nil && ctx.Err() == nil {
		if e := a.write(ctx, func(ctx context.Context) error {
			_, err := a.list.Put(ctx, RecordPrefix+a.c.Machine, raw, nil)
			return err
		}); e == nil {
			return
		} else if ctx.Err() == nil {
			a.log.Warn("this agent's record is not taken", "err", e)
		}
	}
}
