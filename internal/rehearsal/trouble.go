package rehearsal

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"eiderhold/internal/audit"
	"eiderhold/internal/standin"
)

// trouble plays one trouble until it is over or the day is.
func (r *run) trouble(ctx context.Context, t Trouble) {
	lasts := t.For.D()
	if lasts == 0 {
		lasts = time.Hour // to the end of the day
	}
	nodes := func(change, back func(*standin.Trouble)) {
		ids := r.targets(t.Target)
		for _, id := range ids {
			if n := r.site.Node(id); n != nil {
				n.Set(change)
			}
		}
		r.sleep(ctx, lasts)
		for _, id := range ids {
			if n := r.site.Node(id); n != nil {
				n.Set(back)
			}
		}
	}
	switch t.Kind {
	case "burst":
		r.set(r.rate, t.Target, t.Amount)
		r.sleep(ctx, lasts)
		r.set(r.rate, t.Target, 0)
	case "give_up":
		r.set(r.leave, t.Target, t.Amount)
		r.sleep(ctx, lasts)
		r.set(r.leave, t.Target, 0)
	case "deploy":
		r.deploy(ctx, time.Duration(t.Amount*float64(time.Second)))
	case "hang":
		nodes(func(x *standin.Trouble) { x.Hang = true }, func(x *standin.Trouble) { x.Hang = false })
	case "slow":
		nodes(func(x *standin.Trouble) { x.Slow = t.Amount }, func(x *standin.Trouble) { x.Slow = 0 })
	case "heavy_tail":
		nodes(func(x *standin.Trouble) { x.TailPart, x.TailTimes = t.Amount, t.Times }, func(x *standin.Trouble) { x.TailPart = 0 })
	case "neighbour":
		nodes(func(x *standin.Trouble) { x.Neighbour = t.Amount }, func(x *standin.Trouble) { x.Neighbour = 0 })
	case "fast_errors":
		nodes(func(x *standin.Trouble) { x.ErrorPart = t.Amount }, func(x *standin.Trouble) { x.ErrorPart = 0 })
	case "answer_lost":
		nodes(func(x *standin.Trouble) { x.LostPart = t.Amount }, func(x *standin.Trouble) { x.LostPart = 0 })
	case "pauses":
		r.pauses(ctx, t, lasts)
	case "disk_full":
		r.disks(ctx, t.Target, lasts, func(used, _ int64) int64 { return max(1, used) })
	case "small_disk":
		r.disks(ctx, t.Target, lasts, func(_, most int64) int64 { return int64(t.Amount * float64(most)) })
	case "vanish", "rack": // the register does not hear of it before they are back
		ids := r.targets(t.Target)
		if t.Kind == "rack" {
			ids = r.site.Zone(t.Target)
		}
		for _, id := range ids {
			if n := r.site.Node(id); n != nil {
				n.Close()
			}
		}
		if t.For == 0 || !r.sleep(ctx, lasts) {
			return
		}
		for _, id := range ids {
			if err := r.site.Return(id); err != nil {
				r.log.Error("a node that vanished does not come back", "node", id, "err", err)
			}
		}
	case "reconnect":
		for _, id := range r.targets(t.Target) {
			if n := r.site.Node(id); n != nil {
				n.Cut()
			}
		}
	case "discovery_down":
		r.site.Register.Down(true)
		r.sleep(ctx, lasts)
		r.site.Register.Down(false)
	case "discovery_stale":
		r.site.Register.Late(time.Duration(t.Amount * float64(time.Second)))
		r.sleep(ctx, lasts)
		r.site.Register.Late(0)
	case "balancer_stall":
		p := r.gateway(t.Target)
		began := time.Now()
		p.signal(syscall.SIGSTOP)
		r.sleep(ctx, lasts)
		p.signal(syscall.SIGCONT)
		r.trace.Put(audit.Record{What: audit.Stalled, Gateway: p.name, Took: int64(time.Since(began))})
	case "kill":
		r.kill(ctx, r.gateway(t.Target), lasts)
	}
}

// disks changes how much shards can hold, for some time.
func (r *run) disks(ctx context.Context, target string, lasts time.Duration, most func(used, most int64) int64) {
	ids := r.targets(target)
	for _, id := range ids {
		if n := r.site.Node(id); n != nil {
			n.Disk().Limit(most(n.Disk().Space()), 0)
		}
	}
	r.sleep(ctx, lasts)
	for _, id := range ids {
		if n := r.site.Node(id); n != nil {
			n.Disk().Limit(r.day.Site.DiskBytes, 0)
		}
	}
}

func (r *run) set(m map[string]float64, name string, v float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m[name] = v
}

// targets are the nodes that a trouble is for, as they are now.
func (r *run) targets(target string) []string {
	if target != "" {
		return []string{target}
	}
	return r.site.IDs()
}

func (r *run) gateway(name string) *process {
	for _, p := range r.gws {
		if p.name == name {
			return p
		}
	}
	return nil
}

// pauses has nodes stand still now and then.
func (r *run) pauses(ctx context.Context, t Trouble, lasts time.Duration) {
	each := time.Duration(t.Times * float64(time.Millisecond))
	for until := time.Now().Add(lasts); time.Now().Before(until); {
		for _, id := range r.targets(t.Target) {
			if n := r.site.Node(id); n != nil {
				n.Set(func(x *standin.Trouble) { x.PauseUntil = time.Now().Add(each) })
			}
		}
		if !r.sleep(ctx, time.Duration(float64(time.Second)/t.Amount)) {
			return
		}
	}
}

// deploy replaces all nodes but the last, one after another: each drains for the
// grace while its successor, cold, takes the shard.
func (r *run) deploy(ctx context.Context, apart time.Duration) {
	ids := r.site.IDs()
	grace := r.gws[0].cfg.Safety.DrainGrace.D() + time.Second
	done := make(chan struct{}, len(ids))
	started := 0
	for _, id := range ids[:len(ids)-1] {
		r.mu.Lock()
		next := fmt.Sprintf("node-%d", r.next)
		r.next++
		r.mu.Unlock()
		started++
		go func() {
			defer func() { done <- struct{}{} }()
			_, err := r.site.Replace(id, next, grace, func(d time.Duration) { r.sleep(ctx, d) })
			if err != nil {
				r.log.Warn("deploy", "node", id, "err", err)
			}
		}()
		if !r.sleep(ctx, apart) {
			break
		}
	}
	for range started {
		<-done
	}
}

// kill ends a gateway's process without warning and starts it again after a while.
func (r *run) kill(ctx context.Context, p *process, downFor time.Duration) {
	p.mu.Lock()
	p.down = true
	ended := p.ended
	p.mu.Unlock()
	r.trace.Put(audit.Record{What: audit.Kill, Gateway: p.name})
	p.signal(syscall.SIGKILL)
	<-ended
	r.sleep(ctx, downFor)
	if err := r.boot(p); err != nil {
		r.log.Error("a gateway does not start again", "gateway", p.name, "err", err)
	}
}
