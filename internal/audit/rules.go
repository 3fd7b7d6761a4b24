package audit

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"time"
)

// Class holds the properties of a class that the audit uses.
type Class struct {
	Name      string
	Effect    string // safe, keyed, unsafe
	Group     string // all, zone, cell
	Window    time.Duration
	Aim       time.Duration
	Worth     float64
	LateWorth float64
	InOrder   bool
}

// Plan holds the properties of a plan that the audit uses.
type Plan struct {
	Name                              string
	Price                             float64
	LimitRate, LimitBurst, LimitSlack float64
}

// Rules holds the parameters of the seven rules, taken from the gateways' settings.
type Rules struct {
	Classes     []Class
	Plans       []Plan
	Volumes     map[string]string // volume -> plan
	MeanUnits   float64
	DrainGrace  time.Duration
	FallSpan    time.Duration
	ExtraFree   float64
	ExtraShare  float64
	ExtraSpan   time.Duration
	OrderRest   time.Duration
	Shares      map[string]float64 `json:",omitempty"` // volume -> units a second that count in full; no entry: all do
	SpareWorth  float64            // fraction of its worth that a unit beyond the share counts
	AnswerSlack time.Duration      // time after the client's deadline within which an answer is still in time
	// Travel is the time that a frame, an event or an answer may take from one process to another.
	// The records have times of arrival only.
	Travel time.Duration
}

const rulesFile = "rules.json"

// Save writes the rules into the folder of the records.
func (r *Rules) Save(dir string) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, rulesFile), b, 0o644)
	}
	if err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	return nil
}

// LoadRules reads the rules that Save wrote into a folder of records.
func LoadRules(dir string) (*Rules, error) {
	b, err := os.ReadFile(filepath.Join(dir, rulesFile))
	r := &Rules{}
	if err == nil {
		err = json.Unmarshal(b, r)
	}
	if err != nil {
		return nil, fmt.Errorf("audit: rules: %w", err)
	}
	return r, nil
}

// Breach is one violation of a rule.
type Breach struct {
	Rule int
	T    int64
	Text string
}

var ruleNames = [8]string{"", "answer every request", "no effect twice", "drains kept", "no cold node pushed over",
	"no limit passed", "order kept", "attempt budget kept"}

// RuleName returns the name of a rule, 1 to 7.
func RuleName(rule int) string { return ruleNames[rule] }

// Report is the result of an audit.
type Report struct {
	Breaches  []Breach
	Checked   [8]int // number of checks made, by rule
	Transfers map[string]int
	Service   []Service
	Total     Service
	Spread    Spread
}

// Spread describes the distribution of writes over shards.
type Spread struct {
	Nodes   int     // shards that the register listed at any time
	Used    int     // shards with a completed write
	Largest float64 // writes of the shard with the most, divided by the mean of all
	Varies  float64 // coefficient of variation
	Files   int     // file versions with a completed write
	Touched float64 // part of them that has an extent on the shard where this part is largest
	Mean    float64 // part of them that has an extent on a shard, averaged over shards: files affected by the loss of one
}

// Service is the worth earned and the worth due of one class, plan or period of a day, or of all of it.
type Service struct {
	By          string // "class record-read", "plan standard", "second 20", ...
	Asked       int
	Served      int
	InTime      int
	Due, Earned float64
}

// Part returns the part of the worth due that was earned; 1 if none was due.
func (s Service) Part() float64 {
	if s.Due == 0 {
		return 1
	}
	return s.Earned / s.Due
}

// incarnation is one process of a gateway. Request numbers start again with each process.
type incarnation struct {
	gateway string
	number  int
}

// auditor holds the records of a day, ordered by time, and the report on them.
type auditor struct {
	rules     *Rules
	classes   map[string]Class
	plans     map[string]Plan
	recs      []Record
	starts    map[string][]int64 // gateway -> times at which its process started
	kills     map[string][]int64
	stalls    map[string][][2]int64
	rep       *Report
	startTime int64
}

// Check audits the records of a day. It sorts recs by time.
func Check(recs []Record, rules *Rules) *Report {
	a := &auditor{rules: rules, classes: map[string]Class{}, plans: map[string]Plan{}, recs: recs,
		starts: map[string][]int64{}, kills: map[string][]int64{}, stalls: map[string][][2]int64{},
		rep: &Report{Transfers: map[string]int{}}}
	for _, c := range rules.Classes {
		a.classes[c.Name] = c
	}
	for _, p := range rules.Plans {
		a.plans[p.Name] = p
	}
	sort.SliceStable(a.recs, func(i, j int) bool { return a.recs[i].T < a.recs[j].T })
	for _, r := range a.recs {
		switch r.Kind {
		case Start:
			a.starts[r.Gateway] = append(a.starts[r.Gateway], r.T)
		case Kill:
			a.kills[r.Gateway] = append(a.kills[r.Gateway], r.T)
		case Stalled:
			a.stalls[r.Gateway] = append(a.stalls[r.Gateway], [2]int64{r.T - r.Took, r.T})
		}
	}
	if len(recs) > 0 {
		a.startTime = recs[0].T
	}
	a.checkAnswers()
	a.checkEffects()
	a.checkDrains()
	a.checkColdNodes()
	a.checkLimits()
	a.checkOrder()
	a.checkBudget()
	a.computeService()
	a.computeSpread()
	slices.SortStableFunc(a.rep.Breaches, func(x, y Breach) int { return cmp.Compare(x.T, y.T) })
	return a.rep
}

func (a *auditor) breach(rule int, t int64, format string, args ...any) {
	at := time.Duration(t - a.startTime).Round(time.Millisecond)
	a.rep.Breaches = append(a.rep.Breaches, Breach{rule, t, fmt.Sprintf("at %v: ", at) + fmt.Sprintf(format, args...)})
}

// incarnationAt returns the gateway's process that ran at time t.
func (a *auditor) incarnationAt(gateway string, t int64) incarnation {
	n := 0
	for _, s := range a.starts[gateway] {
		if s <= t {
			n++
		}
	}
	return incarnation{gateway, n}
}

// requestKey identifies a request at the nodes.
type requestKey struct {
	incarnation
	ref uint64
}

// arrival is one attempt of a request that arrived at a node, with the record of its end.
type arrival struct {
	Record
	end    *Record
	effect bool
}

// byRequest groups arrivals by request, each group in order of time, and returns the requests in order of
// their first arrival.
func (a *auditor) byRequest() (map[requestKey][]*arrival, []requestKey) {
	all := map[requestKey][]*arrival{}
	var order []requestKey
	type key struct {
		requestKey
		node    string
		conn    uint64
		attempt int
	}
	open := map[key]*arrival{}
	for i := range a.recs {
		r := &a.recs[i]
		if r.Kind != Arrive && r.Kind != End && r.Kind != Effect {
			continue
		}
		k := requestKey{a.incarnationAt(r.Gateway, r.T), r.Ref}
		at := key{k, r.Node, r.Conn, r.Attempt}
		if r.Kind == Arrive {
			x := &arrival{Record: *r}
			if all[k] == nil {
				order = append(order, k)
			}
			all[k] = append(all[k], x)
			open[at] = x
		} else if x := open[at]; x != nil {
			if r.Kind == End {
				x.end = r
			} else {
				x.effect = true
			}
		}
	}
	return all, order
}

// mayHaveRun reports whether the attempt may have been executed.
func (x *arrival) mayHaveRun() bool {
	return x.end == nil || x.end.Result != "busy" && x.end.Result != "no room"
}

// checkAnswers checks rule 1: each transfer that a client began ends once, before the client's timeout.
func (a *auditor) checkAnswers() {
	type transfer struct {
		Record
		ends int
	}
	transfers := map[string]*transfer{}
	var order []string
	lastTime := int64(0)
	for _, r := range a.recs {
		lastTime = max(lastTime, r.T)
		switch r.Kind {
		case TransferStart:
			if transfers[r.ID] != nil {
				a.breach(1, r.T, "transfer %s begins twice", r.ID)
			}
			transfers[r.ID] = &transfer{Record: r}
			order = append(order, r.ID)
		case TransferEnd:
			b := transfers[r.ID]
			if b == nil {
				a.breach(1, r.T, "transfer %s ends and never began", r.ID)
				continue
			}
			if b.ends++; b.ends > 1 {
				a.breach(1, r.T, "transfer %s ends %d times", r.ID, b.ends)
			}
			a.rep.Transfers[r.Result]++
			if r.Result == "left" || a.interrupted(b.Gateway, b.T, r.T) {
				continue
			}
			switch {
			case r.Result == "silent":
				a.breach(1, r.T, "transfer %s: its client waited %v and gave up: %s", r.ID, time.Duration(r.Took), r.Text)
			case b.Limit > 0 && r.T-b.T > b.Limit+int64(a.rules.AnswerSlack) && r.Result != "served":
				a.breach(1, r.T, "transfer %s ended %s after %v, its client's time is %v", r.ID, r.Result,
					time.Duration(r.T-b.T), time.Duration(b.Limit))
			case r.Result != "served" && r.Result != "refused" && r.Result != "failed":
				a.breach(1, r.T, "transfer %s ended %q: %s", r.ID, r.Result, r.Text)
			}
		}
	}
	for _, id := range order {
		b := transfers[id]
		a.rep.Checked[1]++
		if b.ends == 0 && !a.interrupted(b.Gateway, b.T, lastTime) && lastTime-b.T > b.Limit {
			a.breach(1, b.T, "transfer %s never ended", id)
		}
	}
}

// interrupted reports whether a gateway was killed, told to end or stopped between two times.
func (a *auditor) interrupted(gateway string, from, to int64) bool {
	for _, t := range a.kills[gateway] {
		if t >= from && t <= to+int64(a.rules.Travel) {
			return true
		}
	}
	for _, s := range a.stalls[gateway] {
		if s[0] <= to && s[1] >= from {
			return true
		}
	}
	return false
}

// checkEffects checks rule 2: no request takes effect twice, and none is sent again if it could then take effect
// twice. An attempt that is sent after the request was served counts as a breach of rule 1.
func (a *auditor) checkEffects() {
	effectByKey := map[string]*Record{}
	for i, r := range a.recs {
		if r.Kind != Effect || r.Key == "" || a.classes[r.Class].Effect == "safe" {
			continue
		}
		a.rep.Checked[2]++
		if previous := effectByKey[r.Key]; previous != nil {
			a.breach(2, r.T, "key %s took effect at node %s, after it had at node %s", r.Key, r.Node, previous.Node)
		}
		effectByKey[r.Key] = &a.recs[i]
	}
	arrivals, requests := a.byRequest()
	for _, k := range requests {
		attempts := arrivals[k]
		c := a.classes[attempts[0].Class]
		for j, x := range attempts {
			for _, earlier := range attempts[:j] {
				a.rep.Checked[2]++
				if earlier.end != nil && earlier.end.Result == "done" && x.T > earlier.end.T+int64(a.rules.Travel) {
					a.breach(1, x.T, "request %d of %s is sent to %s though %s had served it", k.ref, k.gateway, x.Node, earlier.Node)
				}
				if c.Effect == "safe" || c.Effect == "" || !earlier.mayHaveRun() {
					continue
				}
				switch {
				case c.Effect == "unsafe":
					a.breach(2, x.T, "unsafe request %d of %s is sent again, to %s, though it may have run at %s", k.ref, k.gateway, x.Node, earlier.Node)
				case x.T-earlier.T > int64(c.Window+a.rules.Travel):
					a.breach(2, x.T, "keyed request %d of %s is sent again %v after the first, window %v", k.ref, k.gateway,
						time.Duration(x.T-earlier.T), c.Window)
				case c.Group == "cell" && x.Shard != earlier.Shard, c.Group == "zone" && x.Zone != earlier.Zone:
					a.breach(2, x.T, "keyed request %d of %s is sent to %s, outside the group of %s", k.ref, k.gateway, x.Node, earlier.Node)
				}
			}
		}
	}
}

// checkDrains checks rule 3: no request reaches a node later than the drain grace after the gateway was told
// that the node drains or is gone.
func (a *auditor) checkDrains() {
	type pair struct{ gateway, node string }
	told := map[pair]int64{}
	for _, r := range a.recs {
		switch r.Kind {
		case NodeSent:
			p := pair{r.Gateway, r.Node}
			if r.State == "ready" {
				delete(told, p)
			} else if _, known := told[p]; !known {
				told[p] = r.T
			}
		case Start: // a new process has received no node list yet
			for p := range told {
				if p.gateway == r.Gateway {
					delete(told, p)
				}
			}
		case Arrive:
			a.rep.Checked[3]++
			at, known := told[pair{r.Gateway, r.Node}]
			if !known {
				continue
			}
			for _, s := range a.stalls[r.Gateway] { // a stopped process could not receive the event
				if s[0] <= at+int64(a.rules.Travel) && s[1] > at {
					at = s[1]
				}
			}
			if late := time.Duration(r.T - at); late > a.rules.DrainGrace+a.rules.Travel {
				a.breach(3, r.T, "request %d of %s reaches node %s %v after the gateway was told that it goes; grace %v",
					r.Ref, r.Gateway, r.Node, late, a.rules.DrainGrace)
			}
		}
	}
}

// checkColdNodes checks rule 4: gateways do not overload a cold node. A collapse counts against them if at
// least two thirds of the node's work in the span before it came from gateways that had been told of its start.
func (a *auditor) checkColdNodes() {
	starts := map[string]map[string]int64{} // node -> gateway -> time at which it was told of the node's start
	var recent []Record
	for _, r := range a.recs {
		switch r.Kind {
		case NodeSent:
			if r.Started != 0 && r.State == "ready" {
				if starts[r.Node] == nil {
					starts[r.Node] = map[string]int64{}
				}
				if _, known := starts[r.Node][r.Gateway]; !known {
					starts[r.Node][r.Gateway] = r.T
				}
			}
		case Arrive:
			recent = append(recent, r)
			a.rep.Checked[4]++
		case Collapse:
			sum, known := 0.0, 0.0
			for i := len(recent) - 1; i >= 0 && r.T-recent[i].T <= int64(a.rules.FallSpan); i-- {
				x := recent[i]
				if x.Node != r.Node {
					continue
				}
				sum += x.Units
				if t, ok := starts[r.Node][x.Gateway]; ok && t <= x.T {
					known += x.Units
				}
			}
			if known*3 >= sum*2 {
				a.breach(4, r.T, "cold node %s fell over under %.1f units in %v, %.1f of them from gateways told of its start",
					r.Node, sum, a.rules.FallSpan, known)
			}
		}
	}
}

// checkLimits checks rule 5: the requests of a volume through all gateways stay within the rate and burst of
// its plan. A request counts once, with its first arrival.
func (a *auditor) checkLimits() {
	type bucket struct {
		level float64
		at    int64
	}
	buckets := map[string]*bucket{}
	seen := map[requestKey]bool{}
	for _, r := range a.recs {
		if r.Kind != Arrive {
			continue
		}
		p := a.plans[a.rules.Volumes[r.Volume]]
		k := requestKey{a.incarnationAt(r.Gateway, r.T), r.Ref}
		if p.LimitRate <= 0 || seen[k] {
			continue
		}
		seen[k] = true
		a.rep.Checked[5]++
		s := buckets[r.Volume]
		if s == nil {
			s = &bucket{p.LimitBurst, r.T}
			buckets[r.Volume] = s
		}
		s.level = min(p.LimitBurst, s.level+p.LimitRate*time.Duration(r.T-s.at).Seconds()) - r.Units
		s.at = r.T
		if slack := p.LimitSlack + p.LimitRate*a.rules.Travel.Seconds(); s.level < -slack {
			a.breach(5, r.T, "volume %s: its limit's store is at %.2f, %.2f is allowed", r.Volume, s.level, -p.LimitSlack)
		}
	}
}

// checkOrder checks rule 6: of requests for one item in classes that keep order, none reaches a node before
// the earlier ones have ended, or for an earlier one without an end, within OrderRest of it.
func (a *auditor) checkOrder() {
	arrivals, requests := a.byRequest()
	type key struct {
		incarnation
		item string
	}
	byItem := map[key][]*arrival{}
	for _, k := range requests {
		for _, x := range arrivals[k] {
			if a.classes[x.Class].InOrder && x.Item != "" {
				byItem[key{k.incarnation, x.Item}] = append(byItem[key{k.incarnation, x.Item}], x)
			}
		}
	}
	for k, list := range byItem {
		sort.SliceStable(list, func(i, j int) bool { return list[i].T < list[j].T })
		for j, x := range list {
			for _, earlier := range list[:j] {
				a.rep.Checked[6]++
				switch {
				case earlier.Ref > x.Ref:
					a.breach(6, x.T, "item %s of %s: request %d comes after request %d", k.item, k.gateway, x.Ref, earlier.Ref)
				case earlier.Ref < x.Ref && earlier.end != nil && x.T < earlier.end.T:
					a.breach(6, x.T, "item %s of %s: request %d is sent while %d still ran", k.item, k.gateway, x.Ref, earlier.Ref)
				case earlier.Ref < x.Ref && earlier.end == nil && x.T-earlier.T < int64(a.rules.OrderRest):
					a.breach(6, x.T, "item %s of %s: request %d is sent %v after %d, which may still run; rest %v", k.item, k.gateway,
						x.Ref, time.Duration(x.T-earlier.T), earlier.Ref, a.rules.OrderRest)
				}
			}
		}
	}
}

// checkBudget checks rule 7: within a span, a gateway's further attempts are at most ExtraFree plus ExtraShare
// of the requests that it accepted. Nodes do not see requests that were refused unsent, so accepted requests
// are counted by their numbers, which a gateway assigns in order of acceptance.
func (a *auditor) checkBudget() {
	if a.rules.ExtraSpan == 0 {
		return
	}
	byIncarnation := map[incarnation][]Record{}
	var incarnations []incarnation
	for _, r := range a.recs {
		if r.Kind == Arrive {
			l := a.incarnationAt(r.Gateway, r.T)
			if byIncarnation[l] == nil {
				incarnations = append(incarnations, l)
			}
			byIncarnation[l] = append(byIncarnation[l], r)
		}
	}
	span, travel := int64(a.rules.ExtraSpan), int64(a.rules.Travel)
	for _, l := range incarnations {
		list := byIncarnation[l]
		high := make([]uint64, len(list)) // highest request number up to each arrival
		for i, r := range list {
			high[i] = r.Ref
			if i > 0 {
				high[i] = max(high[i], high[i-1])
			}
		}
		for i, r := range list {
			if r.Attempt == 0 {
				continue
			}
			a.rep.Checked[7]++
			extra, from := 0, i
			for from >= 0 && r.T-list[from].T < span-travel {
				if list[from].Attempt > 0 {
					extra++
				}
				from--
			}
			until := i
			for until+1 < len(list) && list[until+1].T < r.T+travel {
				until++
			}
			taken := high[until]
			for from >= 0 && r.T-list[from].T < span+travel {
				from--
			}
			if from >= 0 {
				taken -= high[from]
			}
			if allowed := a.rules.ExtraFree + a.rules.ExtraShare*float64(taken); float64(extra) > allowed {
				a.breach(7, r.T, "%s made %d further attempts in %v, with %d requests taken %.1f are allowed", l.gateway, extra,
					a.rules.ExtraSpan, taken, allowed)
			}
		}
	}
}

// servicePeriod is the length of the periods by which Report.Service splits a day.
const servicePeriod = 10 * time.Second

// computeService adds up the worth earned and the worth due, in total and by class, plan and period.
func (a *auditor) computeService() {
	parts := map[string]*Service{}
	asksByID := map[string]Record{}
	add := func(by string, due, earned float64, served, inTime bool) {
		s := parts[by]
		if s == nil {
			s = &Service{By: by}
			parts[by] = s
		}
		s.Asked++
		s.Due += due
		s.Earned += earned
		if served {
			s.Served++
		}
		if inTime {
			s.InTime++
		}
	}
	for _, r := range a.recs {
		if r.Kind == TransferStart {
			asksByID[r.ID] = r
		}
	}
	ends := map[string]Record{}
	for _, r := range a.recs {
		if r.Kind == TransferEnd {
			ends[r.ID] = r
		}
	}
	// Worth is counted by the second: a volume's units within its share for a second count in full, those
	// beyond it at SpareWorth.
	type askResult struct {
		ask                 Record
		due, earned, served float64
		inTime              bool
	}
	type volumeSecond struct {
		volume string
		second int64
	}
	var results []askResult
	askedUnits, earnedUnits := map[volumeSecond]float64{}, map[volumeSecond]float64{}
	secondOf := func(ask Record) volumeSecond {
		return volumeSecond{ask.Volume, int64(time.Duration(ask.T-a.startTime) / time.Second)}
	}
	for id, ask := range asksByID {
		end := ends[id]
		c, ok := a.classes[ask.Class]
		if !ok || end.Result == "left" {
			continue
		}
		price := a.plans[ask.Plan].Price
		if price == 0 {
			price = 1
		}
		x := askResult{ask: ask, due: c.Worth * price * ask.Units / max(a.rules.MeanUnits, 1e-9)}
		aim := time.Duration(ask.Aim)
		if aim == 0 {
			aim = c.Aim
		}
		part := 0.0
		if end.Result == "served" {
			x.served = 1
			if x.inTime = time.Duration(end.Took) <= aim; x.inTime {
				part = 1
			} else {
				part = c.LateWorth
			}
		}
		x.earned = x.due * part
		askedUnits[secondOf(ask)] += ask.Units
		earnedUnits[secondOf(ask)] += ask.Units * part
		results = append(results, x)
	}
	// countedPart returns the mean fraction of its worth that a unit counts if the volume has this many units in a
	// second.
	countedPart := func(volume string, units float64) float64 {
		share, ok := a.rules.Shares[volume]
		if !ok || units <= share {
			return 1
		}
		return (share + a.rules.SpareWorth*(units-share)) / units
	}
	slices.SortFunc(results, func(x, y askResult) int {
		return cmp.Or(cmp.Compare(x.ask.T, y.ask.T), cmp.Compare(x.ask.ID, y.ask.ID))
	})
	for _, x := range results {
		due, earned := x.due*countedPart(x.ask.Volume, askedUnits[secondOf(x.ask)]), x.earned*countedPart(x.ask.Volume, earnedUnits[secondOf(x.ask)])
		second := int64(time.Duration(x.ask.T-a.startTime)/servicePeriod) * int64(servicePeriod/time.Second)
		for _, by := range []string{"", "class " + x.ask.Class, "plan " + x.ask.Plan, fmt.Sprintf("second %4d", second)} {
			add(by, due, earned, x.served > 0, x.inTime)
		}
	}
	for _, s := range parts {
		if s.By == "" {
			a.rep.Total = *s
			a.rep.Total.By = "all"
			continue
		}
		a.rep.Service = append(a.rep.Service, *s)
	}
	slices.SortFunc(a.rep.Service, func(x, y Service) int { return cmp.Compare(x.By, y.By) })
}

// computeSpread counts the writes that each shard completed.
func (a *auditor) computeSpread() {
	writes := map[string]bool{}
	for _, c := range a.rules.Classes {
		writes[c.Name] = c.Effect != "safe"
	}
	counts := map[int]float64{}
	files, all := map[int]map[string]bool{}, map[string]bool{}
	for _, r := range a.recs {
		switch {
		case r.Kind == NodeSent:
			counts[r.Shard] += 0
		case r.Kind == End && r.Result == "done" && writes[r.Class]:
			counts[r.Shard]++
			if r.Item == "" {
				continue
			}
			base, _, _ := strings.Cut(r.Item, ".") // items are named BASE.INDEX, see docs/design/host.md
			if files[r.Shard] == nil {
				files[r.Shard] = map[string]bool{}
			}
			files[r.Shard][base], all[base] = true, true
		}
	}
	s := &a.rep.Spread
	for _, on := range files {
		s.Files = len(all)
		part := float64(len(on)) / float64(len(all))
		s.Touched = max(s.Touched, part)
		s.Mean += part / float64(len(counts))
	}
	sum, squares := 0.0, 0.0
	for _, n := range counts {
		s.Nodes++
		if n > 0 {
			s.Used++
		}
		s.Largest = max(s.Largest, n)
		sum += n
		squares += n * n
	}
	if sum == 0 {
		return
	}
	mean := sum / float64(s.Nodes)
	s.Largest /= mean
	s.Varies = math.Sqrt(max(0, squares/float64(s.Nodes)-mean*mean)) / mean
}
