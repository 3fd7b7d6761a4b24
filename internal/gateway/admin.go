package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"eiderhold/control"
	"eiderhold/internal/store"
	"eiderhold/rebalance"
)

// AdminSocket is where a running gateway answers commands, in its folder: HTTP over a Unix socket that only
// its own user may open.
const AdminSocket = "admin.sock"

// longestSocket is what a Unix socket's name may have on Linux (unix(7), sun_path), without its last byte.
const longestSocket = 107

const adminTime = time.Minute // of one command

// admin begins to answer commands. A gateway serves without it if it cannot.
func (g *Gateway) admin() {
	file := filepath.Join(g.cfg.Gateway.Dir, AdminSocket)
	err := os.Remove(file) // the catalogue's lock says that no other gateway uses it
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	if err == nil && len(file) > longestSocket {
		err = fmt.Errorf("its name has %d bytes, at most %d: a shorter gateway.dir", len(file), longestSocket)
	}
	var ln net.Listener
	if err == nil {
		ln, err = net.Listen("unix", file)
	}
	if err == nil {
		err = os.Chmod(file, 0o600)
	}
	if err != nil {
		g.log.Warn("admin: no commands are answered", "socket", file, "err", err)
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /space", func(w http.ResponseWriter, _ *http.Request) {
		s, err := g.Space()
		answer(w, s, err)
	})
	mux.HandleFunc("GET /plan", func(w http.ResponseWriter, r *http.Request) {
		set, err := planSettings(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p, err := g.Plan(set)
		answer(w, p, err)
	})
	mux.HandleFunc("POST /rebalance", func(w http.ResponseWriter, r *http.Request) {
		set, err := planSettings(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s, err := g.Rebalance(set)
		answer(w, s, err)
	})
	mux.HandleFunc("GET /moves", func(w http.ResponseWriter, _ *http.Request) {
		list, err := g.mig.Progress()
		answer(w, list, err)
	})
	mux.HandleFunc("POST /moves/undo", func(w http.ResponseWriter, r *http.Request) {
		id, err := strconv.ParseUint(r.URL.Query().Get("id"), 10, 64)
		if err != nil {
			http.Error(w, fmt.Sprintf("id = %q: a number", r.URL.Query().Get("id")), http.StatusBadRequest)
			return
		}
		answer(w, struct{}{}, g.mig.Undo(id))
	})
	g.adm = &http.Server{Handler: mux, ReadTimeout: adminTime, WriteTimeout: adminTime, MaxHeaderBytes: 16 << 10}
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		if err := g.adm.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			g.log.Warn("admin: commands are no longer answered", "err", err)
		}
	}()
}

func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client went
}

// ErrNotRunning says that no gateway answers on a folder.
var ErrNotRunning = errors.New("no gateway is running on this folder")

// Command asks the gateway that runs on a folder and decodes its answer.
func Command(ctx context.Context, dir, path string, query url.Values, into any) error {
	return command(ctx, http.MethodGet, dir, path, query, into)
}

// Order is Command for what changes something.
func Order(ctx context.Context, dir, path string, query url.Values, into any) error {
	return command(ctx, http.MethodPost, dir, path, query, into)
}

func command(ctx context.Context, method, dir, path string, query url.Values, into any) error {
	file := filepath.Join(dir, AdminSocket)
	c := &http.Client{Timeout: adminTime, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "unix", file)
			if err != nil {
				err = fmt.Errorf("%w (%w)", ErrNotRunning, err)
			}
			return conn, err
		}}}
	r, err := http.NewRequestWithContext(ctx, method, "http://gateway"+path+"?"+query.Encode(), nil)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	resp, err := c.Do(r)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
		return fmt.Errorf("admin: %s: %s", resp.Status, b)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("admin: %s: %w", path, err)
	}
	return nil
}

// PlanQuery is settings as planSettings reads them.
func PlanQuery(set rebalance.Settings) url.Values {
	return url.Values{"least": {strconv.FormatFloat(set.MinDifference, 'g', -1, 64)}, "moves": {strconv.Itoa(set.MaxMoves)},
		"per_node": {strconv.Itoa(set.MaxMovesPerShard)}, "rate": {strconv.FormatInt(set.BytesPerSecond, 10)}}
}

func planSettings(q url.Values) (set rebalance.Settings, err error) {
	set = rebalance.Default
	for key, into := range map[string]any{"least": &set.MinDifference, "moves": &set.MaxMoves, "per_node": &set.MaxMovesPerShard, "rate": &set.BytesPerSecond} {
		if q.Get(key) == "" {
			continue
		}
		if _, err := fmt.Sscan(q.Get(key), into); err != nil {
			return set, fmt.Errorf("%s = %q: a number", key, q.Get(key))
		}
	}
	return set, set.Check()
}

// Plan works out what is to move between shards so that they fill evenly. Nothing is moved.
func (g *Gateway) Plan(set rebalance.Settings) (*rebalance.Plan, error) {
	if g.plc == nil {
		return nil, errors.New("placement.choice = 0: no fill is known, and nothing is planned")
	}
	set.HighMark = g.cfg.Place.Low // what is moved is to leave a shard taking new data
	g.mu.Lock()
	var modules []string
	for _, m := range g.modules {
		modules = append(modules, m.Name)
	}
	g.mu.Unlock()
	var units []rebalance.Unit
	if err := g.cat.Runs(modules, func(r store.Run) {
		units = append(units, rebalance.Unit{Volume: r.Volume, Base: r.Base, Shard: r.Shard, Extents: r.Parts, Bytes: r.Bytes})
	}); err != nil {
		return nil, err
	}
	shards, allowed := g.plc.rebalancing(func(shard int) bool { _, _, lost := g.out.lost(shard); return lost })
	return rebalance.Make(set, shards, units, allowed)
}

// Started is a plan that is being carried out.
type Started struct {
	Moves int             `json:"moves"` // begun; the others' data is on its way already or gone
	Plan  *rebalance.Plan `json:"plan"`
}

// Rebalance plans and has the moves begin.
func (g *Gateway) Rebalance(set rebalance.Settings) (*Started, error) {
	p, err := g.Plan(set)
	if err != nil {
		return nil, err
	}
	n, err := g.mig.Start(p)
	return &Started{n, p}, err
}

// rebalancing is what a plan is made of: shards that are cold or lost neither give nor take, since moves
// must not be what pushes them over.
func (p *places) rebalancing(lost func(shard int) bool) ([]rebalance.Shard, func(volume string, shard int) bool) {
	levels := p.levels()
	var list []rebalance.Shard
	for _, l := range levels {
		s := rebalance.Shard{ID: l.Shard, Used: l.Used, Capacity: l.Capacity}
		listed, ready, warm := 0, 0, true
		for _, n := range p.nodes.of(l.Shard) {
			listed++
			if n.State == control.Ready {
				ready++
				warm = warm && p.warmth(n, 0) >= 1
			}
		}
		s.Draining = listed > 0 && ready == 0
		s.Readable = listed > 0 && (ready == 0 || warm) && !lost(l.Shard)
		s.Writable = ready > 0 && warm && !l.Full && !l.PastHighMark && !lost(l.Shard)
		list = append(list, s)
	}
	p.mu.Lock()
	placed := p.nodes.placed(p.placed)
	p.mu.Unlock()
	return list, func(volume string, shard int) bool {
		return len(placed[volume]) == 0 || slices.Contains(placed[volume], shard)
	}
}
