package control

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// siteVolume is a volume of the simulated site: its demand and its share, in units a second.
type siteVolume struct {
	name, plan    string
	demand, share float64
}

// simulateSite runs one host for some seconds in front of three nodes of 100 units a second each, with a queue and
// one server per node, and returns the earned part of the offered worth. In each second, a volume's units within its
// share count in full, those beyond it count a twentieth. Nodes meter volumes over two seconds. The simulation shares
// no code with the controller.
func simulateSite(t *testing.T, seed int64, seconds int, volumes []siteVolume, shares Shares) float64 {
	t.Helper()
	set := settings()
	set.Hosts, set.ShareWorth, set.SpareWorth, set.MeterSpan = 1, 1, 0.05, 2*time.Second
	set.Plans = []Plan{{Name: "standard", Nominal: 200, Weight: 1, Price: 0.72}, {Name: "priority", Nominal: 300, Weight: 3, Price: 0.9}}
	price := map[string]float64{"standard": 0.72, "priority": 0.9}
	c, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewSource(seed))
	type job struct {
		id, node  string
		volume    int
		sent, end time.Duration
	}
	type arrival struct {
		volume, second int
		at             time.Duration
	}
	now := time.Hour
	events := []Event{NodeList{Kind: ListFull, Nodes: []Node{nodeEntry("n0", 0), nodeEntry("n1", 1), nodeEntry("n2", 2)}}, shares}
	busyUntil, arrivals := map[string]time.Duration{}, map[string]arrival{}
	var inFlight []job
	offered, servedInAim := map[[2]int]float64{}, map[[2]int]float64{}
	recentUse, nextArrival := make([]float64, len(volumes)), make([]time.Duration, len(volumes))
	const tick, units = 2 * ms, 2.0
	for i := range nextArrival {
		nextArrival[i] = now
	}
	number, timer, token := 0, time.Duration(math.MaxInt64), int64(0)
	for end := now + time.Duration(seconds)*time.Second; now < end; now += tick {
		for i, v := range volumes {
			recentUse[i] *= math.Exp(-float64(tick) / float64(2*time.Second))
			for nextArrival[i] <= now {
				nextArrival[i] += time.Duration(rng.ExpFloat64() * units / v.demand * float64(time.Second))
				id := fmt.Sprint("r", number)
				number++
				second := int(now / time.Second)
				arrivals[id] = arrival{i, second, now}
				offered[[2]int{i, second}] += units
				events = append(events, Request{ID: id, Class: "read", Plan: v.plan, Volume: v.name, Shard: number % 3, Hosts: 1,
					Units: units, Expires: time.Second})
			}
		}
		remaining := inFlight[:0]
		for _, j := range inFlight {
			if j.end > now {
				remaining = append(remaining, j)
				continue
			}
			recentUse[j.volume] += units
			percent := 100 * recentUse[j.volume] / 2 / set.Plans[map[string]int{"standard": 0, "priority": 1}[volumes[j.volume].plan]].Nominal
			a := arrivals[j.id]
			if now-a.at <= 100*ms {
				servedInAim[[2]int{a.volume, a.second}] += units
			}
			events = append(events, Outcome{ID: j.id, Node: j.node, Result: Done, Elapsed: now - j.sent, Closed: true, VolumeUse: 1 + int(percent)})
		}
		inFlight = remaining
		if timer <= now {
			timer = math.MaxInt64
			events = append(events, TimerFired{token})
		}
		if len(events) == 0 {
			continue
		}
		for _, a := range c.Step(now, events) {
			switch a := a.(type) {
			case Send:
				busyUntil[a.Node] = max(busyUntil[a.Node], now) + 20*ms
				inFlight = append(inFlight, job{a.ID, a.Node, arrivals[a.ID].volume, now, busyUntil[a.Node]})
			case SetTimer:
				timer, token = a.At, a.Token
			}
		}
		events = events[:0]
	}
	worthOf := func(i int, units float64) float64 {
		return price[volumes[i].plan] * (min(units, volumes[i].share) + 0.05*max(0, units-volumes[i].share))
	}
	earned, total := 0.0, 0.0
	for i := range volumes {
		for second := range seconds {
			k := [2]int{i, int(time.Hour/time.Second) + second}
			earned, total = earned+worthOf(i, servedInAim[k]), total+worthOf(i, offered[k])
		}
	}
	return earned / total
}

// TestWrongSharesLoseTrust checks that wrong shares cost little when the demand of five volumes is half more than
// the nodes can serve. With correct shares the host earns no less than without any. With shares of a third of the
// volumes ten times too large or too small it earns at most 0.03 less, because they contradict the meters. All values
// are means over five seeds.
func TestWrongSharesLoseTrust(t *testing.T) {
	volumes := []siteVolume{{"a", "priority", 40, 40}, {"b", "priority", 30, 30}, {"c", "standard", 40, 40}, {"d", "standard", 40, 40},
		{"e", "standard", 300, 120}}
	sharesScaledBy := func(factors map[string]float64) Shares {
		s := Shares{Version: 1, Trust: time.Hour, Volumes: map[string]VolumeShare{}}
		for _, v := range volumes {
			factor := 1.0
			if f, ok := factors[v.name]; ok {
				factor = f
			}
			s.Volumes[v.name] = VolumeShare{Rate: v.share * factor}
		}
		return s
	}
	mean := func(s Shares) (sum float64) {
		for seed := range int64(5) {
			sum += simulateSite(t, seed, 12, volumes, s) / 5
		}
		return sum
	}
	none, right := mean(Shares{}), mean(sharesScaledBy(nil))
	t.Logf("none %.3f, right %.3f", none, right)
	if right < none-0.005 {
		t.Errorf("with correct shares %.3f of the worth, without any %.3f", right, none)
	}
	for _, factors := range []map[string]float64{{"a": 10, "c": 0.1}, {"a": 0.1, "e": 10}, {"e": 0.1, "d": 10}, {"b": 0.1, "c": 0.1}} {
		got := mean(sharesScaledBy(factors))
		t.Logf("%v: %.3f", factors, got)
		if got < none-0.03 {
			t.Errorf("with shares scaled by %v: %.3f of the worth, without any %.3f", factors, got, none)
		}
	}
}
