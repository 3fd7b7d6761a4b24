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

// AdminSocket is the name of the Unix socket in a gateway's folder on which a running gateway answers commands
// over HTTP. Only the gateway's own user may open it.
const AdminSocket = "admin.sock"

// maxSocketPathBytes is the size of sun_path on Linux (unix(7)) without its terminating zero byte.
const maxSocketPathBytes = 107

const adminTimeout = time.Minute // for one command

// serveAdmin starts to answer commands. If the socket cannot be opened, the gateway runs without it.
func (g *Gateway) serveAdmin() {
	file := filepath.Join(g.cfg.Gateway.Dir, AdminSocket)
	err := os.Remove(file) // the catalogue's lock ensures that no other gateway uses the folder
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	if err == nil && len(file) > maxSocketPathBytes {
		err = fmt.Errorf("socket path has %d bytes, at most %d allowed: set a shorter gateway.dir", len(file), maxSocketPathBytes)
	}
	var ln net.Listener
	if err == nil {
		ln, err = net.Listen("unix", file)
	}
	if err == nil {
		err = os.Chmod(file, 0o600)
	}
	if err != nil {
		g.log.Warn("admin: the socket could not be opened; commands are not answered", "socket", file, "err", err)
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /space", func(w http.ResponseWriter, _ *http.Request) {
		s, err := g.Space()
		answer(w, s, err)
	})
	mux.HandleFunc("GET /plan", func(w http.ResponseWriter, r *http.Request) {
		settings, err := planSettings(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p, err := g.Plan(settings)
		answer(w, p, err)
	})
	mux.HandleFunc("POST /rebalance", func(w http.ResponseWriter, r *http.Request) {
		settings, err := planSettings(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s, err := g.Rebalance(settings)
		answer(w, s, err)
	})
	mux.HandleFunc("GET /moves", func(w http.ResponseWriter, _ *http.Request) {
		list, err := g.migrator.Progress()
		answer(w, list, err)
	})
	mux.HandleFunc("POST /moves/undo", func(w http.ResponseWriter, r *http.Request) {
		id, err := strconv.ParseUint(r.URL.Query().Get("id"), 10, 64)
		if err != nil {
			http.Error(w, fmt.Sprintf("id = %q: a number", r.URL.Query().Get("id")), http.StatusBadRequest)
			return
		}
		answer(w, struct{}{}, g.migrator.Undo(id))
	})
	g.adminServer = &http.Server{Handler: mux, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout, MaxHeaderBytes: 16 << 10}
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		if err := g.adminServer.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			g.log.Warn("admin: the server stopped; commands are no longer answered", "err", err)
		}
	}()
}

func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// ErrNotRunning means that no gateway answers on the socket of a folder.
var ErrNotRunning = errors.New("no gateway is running on this folder")

// Get sends a GET request to the gateway that runs on a folder and decodes its answer.
func Get(ctx context.Context, dir, path string, query url.Values, into any) error {
	return command(ctx, http.MethodGet, dir, path, query, into)
}

// Post sends a POST request, for a command that changes something, and decodes its answer.
func Post(ctx context.Context, dir, path string, query url.Values, into any) error {
	return command(ctx, http.MethodPost, dir, path, query, into)
}

func command(ctx context.Context, method, dir, path string, query url.Values, into any) error {
	file := filepath.Join(dir, AdminSocket)
	c := &http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true,
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

// PlanQuery encodes settings for the commands /plan and /rebalance.
func PlanQuery(settings rebalance.Settings) url.Values {
	return url.Values{"least": {strconv.FormatFloat(settings.MinDifference, 'g', -1, 64)}, "moves": {strconv.Itoa(settings.MaxMoves)},
		"per_node": {strconv.Itoa(settings.MaxMovesPerShard)}, "rate": {strconv.FormatInt(settings.BytesPerSecond, 10)}}
}

// planSettings decodes a query as PlanQuery encodes it. Settings that it lacks keep their defaults.
func planSettings(q url.Values) (settings rebalance.Settings, err error) {
	settings = rebalance.Default
	for key, into := range map[string]any{"least": &settings.MinDifference, "moves": &settings.MaxMoves, "per_node": &settings.MaxMovesPerShard, "rate": &settings.BytesPerSecond} {
		if q.Get(key) == "" {
			continue
		}
		if _, err := fmt.Sscan(q.Get(key), into); err != nil {
			return settings, fmt.Errorf("%s = %q: a number", key, q.Get(key))
		}
	}
	return settings, settings.Check()
}

// Plan computes moves that even out the fill of the shards. It does not start them.
func (g *Gateway) Plan(settings rebalance.Settings) (*rebalance.Plan, error) {
	if g.placer == nil {
		return nil, errors.New("placement.choice = 0: no fill is known, and nothing is planned")
	}
	settings.HighMark = g.cfg.Placement.Low // so that a target of moves still takes new data afterwards
	g.mu.Lock()
	var modules []string
	for _, m := range g.modules {
		modules = append(modules, m.Name)
	}
	g.mu.Unlock()
	var units []rebalance.Unit
	if err := g.catalogue.Runs(modules, func(r store.Run) {
		units = append(units, rebalance.Unit{Volume: r.Volume, Base: r.Base, Shard: r.Shard, Extents: r.Parts, Bytes: r.Bytes})
	}); err != nil {
		return nil, err
	}
	shards, allowed := g.placer.rebalanceInput(func(shard int) bool { _, _, lost := g.outages.lost(shard); return lost })
	return rebalance.Make(settings, shards, units, allowed)
}

// RebalanceResult is the answer to a rebalance command: the plan and the number of its moves that were started.
type RebalanceResult struct {
	Moves int             `json:"moves"` // started; the data of the others is being moved already or no longer exists
	Plan  *rebalance.Plan `json:"plan"`
}

// Rebalance makes a plan and starts its moves.
func (g *Gateway) Rebalance(settings rebalance.Settings) (*RebalanceResult, error) {
	p, err := g.Plan(settings)
	if err != nil {
		return nil, err
	}
	n, err := g.migrator.Start(p)
	return &RebalanceResult{n, p}, err
}

// rebalanceInput returns the shards for a plan, and a function that reports whether a volume may be on a shard.
// Cold or lost shards are neither sources nor targets of moves, since the load of moves could overload them.
func (p *placer) rebalanceInput(lost func(shard int) bool) ([]rebalance.Shard, func(volume string, shard int) bool) {
	levels := p.levels()
	var list []rebalance.Shard
	for _, l := range levels {
		s := rebalance.Shard{ID: l.Shard, Used: l.Used, Capacity: l.Capacity}
		listed, ready, warm := 0, 0, true
		for _, n := range p.nodes.ofShard(l.Shard) {
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
	shardsByVolume := p.nodes.shardsByVolume(p.solutionNodes)
	p.mu.Unlock()
	return list, func(volume string, shard int) bool {
		return len(shardsByVolume[volume]) == 0 || slices.Contains(shardsByVolume[volume], shard)
	}
}
