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
	lookEvery = 50 * time.Millisecond // the views' times are known as exactly as that
	lookTime  = time.Second           // for a node to say what it sees
	maxView   = 1 << 20               // bytes of a view
)

// seen is what a node says of its view on the control address.
type seen struct {
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

// watchView keeps the changes of a node's view in the history until ctx ends. A node that does not answer, as
// one that is dead or stands still, has none.
func (n *node) watchView(ctx context.Context) {
	var last seen
	for backoff.Sleep(ctx, lookEvery) {
		n.mu.Lock()
		control := n.control
		n.mu.Unlock()
		if control == "" {
			continue
		}
		s, err := look(ctx, control)
		if err != nil || s.Life == last.Life && s.Digest == last.Digest {
			continue
		}
		last = s
		e := history.Event{
			Kind:   history.View,
			Node:   n.name,
			Index:  s.Number,
			How:    s.Digest,
			Detail: strconv.FormatUint(s.Life, 10),
		}
		for _, m := range s.Members {
			e.Also = append(e.Also, fmt.Sprintf("%s %s %d %d", m.Name, m.Health, m.Life, m.Incarnation))
		}
		n.f.log.Add(e)
	}
}

func look(ctx context.Context, control string) (s seen, err error) {
	ctx, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/fleet", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer besteffort.Close(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxView)).Decode(&s)
	return s, err
}
