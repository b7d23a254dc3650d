package release

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"wrenspread/internal/besteffort"
)

const maxStats = 4 << 20 // bytes of a proxy's figures

// readControl reads the figures at a proxy's control address.
func readControl(ctx context.Context, h *http.Client, control string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/stats", nil)
	if err != nil {
		return "", err
	}
	resp, err := h.Do(req)
	if err != nil {
		return "", err
	}
	defer besteffort.Close(resp.Body)
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStats))
	return string(raw), err
}

// figures calls do for each line of a proxy's figures that begins with a prefix: what
// follows it, split at the last dot, and the number.
func figures(text, prefix string, do func(name, what string, n int)) {
	in := bufio.NewScanner(strings.NewReader(text))
	for in.Scan() {
		rest, ok := strings.CutPrefix(in.Text(), prefix)
		key, value, colon := strings.Cut(rest, ":")
		dot := strings.LastIndexByte(key, '.')
		number, _, _ := strings.Cut(value, "|")
		n, err := strconv.Atoi(number)
		if ok && colon && dot >= 0 && err == nil && n >= 0 {
			do(key[:dot], key[dot+1:], n)
		}
	}
}

// readStats reads a proxy's figures on single servers.
func readStats(text string) map[string]Counts {
	all := map[string]Counts{}
	figures(text, "app.backends.", func(name, what string, n int) {
		c := all[name]
		switch what {
		case "succeeded":
			c.Requests += n
		case "failed":
			c.Requests += n
			c.Failed += n
		case "late":
			c.Late += n
		}
		all[name] = c
	})
	return all
}

// Counts asks every proxy.
func (f *ServerExecutor) Counts(ctx context.Context, named []string) (map[string]Comparison, error) {
	is := map[string]bool{}
	for _, n := range named {
		is[n] = true
	}
	all := map[string]Comparison{}
	for _, n := range f.Proxies {
		text, err := readControl(ctx, f.HTTP, n.Control)
		if err != nil {
			continue // one that is not there counts nothing
		}
		var p Comparison
		for name, c := range readStats(text) {
			if is[name] {
				p.Released = p.Released.plus(c)
			} else {
				p.Rest = p.Rest.plus(c)
			}
		}
		all[n.Name] = p
	}
	if len(all) == 0 && len(f.Proxies) > 0 {
		return nil, errors.New("no node tells its figures")
	}
	return all, nil
}
