package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
)

const (
	viewPollInterval = 50 * time.Millisecond // also the precision of the recorded times of views
	viewPollTimeout  = time.Second           // for one request of a view
	maxViewBytes     = 1 << 20               // longer responses are truncated and can't be decoded
)

// nodeView is a node's view of the fleet, as its control address returns it under /fleet.
type nodeView struct {
	Life    uint64 `json:"life"`
	Number  uint64 `json:"number"`
	Digest  string `json:"digest"`
	Members []struct {
		Name        string `json:"name"`
		Health      string `json:"health"`
		Life        uint64 `json:"life"`
		Incarnation uint32 `json:"incarnation"`
	} `json:"members"`
}

// watchView records the changes of a node's view in the history until ctx ends. Nothing is recorded while the
// node doesn't answer, for instance because it is dead or paused.
func (n *node) watchView(ctx context.Context) {
	var last nodeView
	for backoff.Sleep(ctx, viewPollInterval) {
		n.mu.Lock()
		control := n.controlAddress
		n.mu.Unlock()
		if control == "" {
			continue
		}
		view, err := fetchView(ctx, control)
		if err != nil || view.Life == last.Life && view.Digest == last.Digest {
			continue
		}
		last = view
		e := history.Event{
			Kind:   history.View,
			Node:   n.name,
			Index:  view.Number,
			How:    view.Digest,
			Detail: strconv.FormatUint(view.Life, 10),
		}
		for _, m := range view.Members {
			e.Also = append(e.Also, fmt.Sprintf("%s %s %d %d", m.Name, m.Health, m.Life, m.Incarnation))
		}
		n.fleet.log.Add(e)
	}
}

// fetchView requests the view of the node with the given control address.
func fetchView(ctx context.Context, control string) (view nodeView, err error) {
	ctx, cancel := context.WithTimeout(ctx, viewPollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/fleet", nil)
	if err != nil {
		return view, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return view, err
	}
	defer besteffort.Close(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return view, fmt.Errorf("fetch view: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxViewBytes)).Decode(&view)
	return view, err
}
