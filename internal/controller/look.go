package controller

// How the keeper looks at the list, the servers and the nodes.

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"
)

// look sees the list, and every server and node at its address.
func (w *Keeper) look(ctx context.Context) (Look, error) {
	call, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	a, err := w.client.Items(call)
	if err != nil {
		return Look{}, err
	}
	l := Look{Items: a.Items, Answers: map[string]bool{}, Nodes: make([]NodeLook, len(w.c.Nodes))}
	var mu sync.Mutex // of Answers
	var g errgroup.Group
	g.SetLimit(together)
	for _, i := range a.Items {
		g.Go(func() error {
			if conn, err := (&net.Dialer{Timeout: lookTime}).DialContext(ctx, "tcp", i.Entry.Address); err == nil {
				conn.Close()
				mu.Lock()
				l.Answers[i.Entry.Name] = true
				mu.Unlock()
			}
			return nil
		})
	}
	for i, n := range w.c.Nodes {
		g.Go(func() error {
			l.Nodes[i] = w.node(ctx, n)
			return nil
		})
	}
	g.Wait() // nothing of it fails
	return l, ctx.Err()
}

func (w *Keeper) node(ctx context.Context, n Node) NodeLook {
	l := NodeLook{Name: n.Name, Discovered: -1}
	status, _, err := w.get(ctx, "http://"+n.Control+"/healthcheck")
	l.Up, l.Ready = err == nil, status == http.StatusOK
	if _, body, err := w.get(ctx, "http://"+n.Control+"/stats"); err == nil {
		l.Discovered = discovered(body)
	}
	return l
}

func (w *Keeper) get(ctx context.Context, url string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, "", err
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStats))
	return resp.StatusCode, string(raw), err
}

// discovered reads the number of servers out of a node's figures, or gives -1.
func discovered(stats string) int {
	in := bufio.NewScanner(strings.NewReader(stats))
	for in.Scan() {
		if rest, ok := strings.CutPrefix(in.Text(), "app.discovered:"); ok {
			value, _, _ := strings.Cut(rest, "|")
			if n, err := strconv.Atoi(value); err == nil {
				return n
			}
		}
	}
	return -1
}
