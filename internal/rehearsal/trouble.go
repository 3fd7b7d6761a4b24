package rehearsal

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"eiderhold/internal/audit"
	"eiderhold/internal/standin"
)

// playTrouble carries out one trouble, until it or the day is over.
func (r *runner) playTrouble(ctx context.Context, t Trouble) {
	duration := t.For.D()
	if duration == 0 {
		duration = time.Hour // to the end of the day
	}
	withFault := func(setFault, clearFault func(*standin.Trouble)) {
		ids := r.targetNodes(t.Target)
		for _, id := range ids {
			if n := r.site.Node(id); n != nil {
				n.Set(setFault)
			}
		}
		r.sleep(ctx, duration)
		for _, id := range ids {
			if n := r.site.Node(id); n != nil {
				n.Set(clearFault)
			}
		}
	}
	switch t.Kind {
	case "burst":
		r.setFactor(r.rateFactors, t.Target, t.Amount)
		r.sleep(ctx, duration)
		r.setFactor(r.rateFactors, t.Target, 0)
	case "give_up":
		r.setFactor(r.leaveParts, t.Target, t.Amount)
		r.sleep(ctx, duration)
		r.setFactor(r.leaveParts, t.Target, 0)
	case "deploy":
		r.deploy(ctx, time.Duration(t.Amount*float64(time.Second)))
	case "hang":
		withFault(func(x *standin.Trouble) { x.Hang = true }, func(x *standin.Trouble) { x.Hang = false })
	case "slow":
		withFault(func(x *standin.Trouble) { x.Slow = t.Amount }, func(x *standin.Trouble) { x.Slow = 0 })
	case "heavy_tail":
		withFault(func(x *standin.Trouble) { x.TailPart, x.TailTimes = t.Amount, t.Times }, func(x *standin.Trouble) { x.TailPart = 0 })
	case "neighbour":
		withFault(func(x *standin.Trouble) { x.Neighbour = t.Amount }, func(x *standin.Trouble) { x.Neighbour = 0 })
	case "fast_errors":
		withFault(func(x *standin.Trouble) { x.ErrorPart = t.Amount }, func(x *standin.Trouble) { x.ErrorPart = 0 })
	case "answer_lost":
		withFault(func(x *standin.Trouble) { x.LostPart = t.Amount }, func(x *standin.Trouble) { x.LostPart = 0 })
	case "pauses":
		r.pauseNodes(ctx, t, duration)
	case "disk_full":
		r.limitDisks(ctx, t.Target, duration, func(used, _ int64) int64 { return max(1, used) })
	case "small_disk":
		r.limitDisks(ctx, t.Target, duration, func(_, capacity int64) int64 { return int64(t.Amount * float64(capacity)) })
	case "vanish", "rack": // the register keeps listing the nodes meanwhile
		ids := r.targetNodes(t.Target)
		if t.Kind == "rack" {
			ids = r.site.Zone(t.Target)
		}
		for _, id := range ids {
			if n := r.site.Node(id); n != nil {
				n.Close()
			}
		}
		if t.For == 0 || !r.sleep(ctx, duration) {
			return
		}
		for _, id := range ids {
			if err := r.site.Restart(id); err != nil {
				r.log.Error("a node that vanished could not be started again", "node", id, "err", err)
			}
		}
	case "reconnect":
		for _, id := range r.targetNodes(t.Target) {
			if n := r.site.Node(id); n != nil {
				n.CloseConns()
			}
		}
	case "discovery_down":
		r.site.Register.SetDown(true)
		r.sleep(ctx, duration)
		r.site.Register.SetDown(false)
	case "discovery_stale":
		r.site.Register.SetDelay(time.Duration(t.Amount * float64(time.Second)))
		r.sleep(ctx, duration)
		r.site.Register.SetDelay(0)
	case "balancer_stall":
		p := r.gatewayByName(t.Target)
		began := time.Now()
		p.signal(syscall.SIGSTOP)
		r.sleep(ctx, duration)
		p.signal(syscall.SIGCONT)
		r.trace.Put(audit.Record{Kind: audit.Stalled, Gateway: p.name, Took: int64(time.Since(began))})
	case "kill":
		r.killGateway(ctx, r.gatewayByName(t.Target), duration)
	}
}

// limitDisks sets the capacities of shards' disks for some time. newCapacity computes one from the bytes used and the
// present capacity.
func (r *runner) limitDisks(ctx context.Context, target string, duration time.Duration, newCapacity func(used, capacity int64) int64) {
	ids := r.targetNodes(target)
	for _, id := range ids {
		if n := r.site.Node(id); n != nil {
			n.Disk().Limit(newCapacity(n.Disk().Space()), 0)
		}
	}
	r.sleep(ctx, duration)
	for _, id := range ids {
		if n := r.site.Node(id); n != nil {
			n.Disk().Limit(r.day.Site.DiskBytes, 0)
		}
	}
}

// setFactor sets the value of a load in rateFactors or leaveParts; an empty name stands for all loads.
func (r *runner) setFactor(m map[string]float64, name string, v float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m[name] = v
}

// targetNodes returns the ids of the nodes that a trouble affects, as of now.
func (r *runner) targetNodes(target string) []string {
	if target != "" {
		return []string{target}
	}
	return r.site.IDs()
}

func (r *runner) gatewayByName(name string) *process {
	for _, p := range r.gateways {
		if p.name == name {
			return p
		}
	}
	return nil
}

// pauseNodes pauses nodes at regular intervals.
func (r *runner) pauseNodes(ctx context.Context, t Trouble, duration time.Duration) {
	pauseDuration := time.Duration(t.Times * float64(time.Millisecond))
	for until := time.Now().Add(duration); time.Now().Before(until); {
		for _, id := range r.targetNodes(t.Target) {
			if n := r.site.Node(id); n != nil {
				n.Set(func(x *standin.Trouble) { x.PauseUntil = time.Now().Add(pauseDuration) })
			}
		}
		if !r.sleep(ctx, time.Duration(float64(time.Second)/t.Amount)) {
			return
		}
	}
}

// deploy replaces all nodes but the last, one after another. Each drains for the grace while its cold successor
// serves the shard.
func (r *runner) deploy(ctx context.Context, interval time.Duration) {
	ids := r.site.IDs()
	grace := r.gateways[0].cfg.Safety.DrainGrace.D() + time.Second
	done := make(chan struct{}, len(ids))
	started := 0
	for _, id := range ids[:len(ids)-1] {
		r.mu.Lock()
		next := fmt.Sprintf("node-%d", r.nextNode)
		r.nextNode++
		r.mu.Unlock()
		started++
		go func() {
			defer func() { done <- struct{}{} }()
			_, err := r.site.Replace(id, next, grace, func(d time.Duration) { r.sleep(ctx, d) })
			if err != nil {
				r.log.Warn("deploy: a node could not be replaced", "node", id, "err", err)
			}
		}()
		if !r.sleep(ctx, interval) {
			break
		}
	}
	for range started {
		<-done
	}
}

// killGateway kills a gateway's process with SIGKILL and starts it again after a time.
func (r *runner) killGateway(ctx context.Context, p *process, downFor time.Duration) {
	p.mu.Lock()
	p.down = true
	ended := p.exited
	p.mu.Unlock()
	r.trace.Put(audit.Record{Kind: audit.Kill, Gateway: p.name})
	p.signal(syscall.SIGKILL)
	<-ended
	r.sleep(ctx, downFor)
	if err := r.startGateway(p); err != nil {
		r.log.Error("a gateway could not be started again", "gateway", p.name, "err", err)
	}
}
