package shares

import (
	"fmt"
	"slices"
)

// Choice is one node that a part of a volume could be placed on, and how the value of the
// placement would change.
type Choice struct {
	Node     string `json:"node"`
	Replaces string `json:"instead,omitempty"` // the node of the placement that it would replace
	Change   Value  `json:"change"`            // of the placement's value; 0 for a node that the volume is on
	Why      string `json:"why,omitempty"`     // why the volume cannot be there; Change is 0 then
}

// Explanation compares the placement of one volume with its alternatives.
type Explanation struct {
	Volume  string   `json:"volume"`
	Parts   []Part   `json:"parts"`
	Choices []Choice `json:"choices"` // best first, impossible ones last
}

// Explain explains why a volume is where a placement puts it. For every other node it computes
// how the value would change if that node replaced one of the volume's nodes, the one where the
// change is best, with all other volumes unchanged.
func Explain(p *Problem, placement map[string][]string, volume string) (*Explanation, error) {
	a, err := Evaluate(p, placement)
	if err != nil {
		return nil, err
	}
	in := p.instance()
	nodeIndex := map[string]int{}
	for i, n := range in.nodes {
		nodeIndex[n.id] = i
	}
	s := newSearchState(in, 1)
	target := -1
	for v := range in.volumes {
		var set []int
		for _, id := range a.Placement[in.volumes[v].id] {
			set = append(set, nodeIndex[id])
		}
		s.assign(v, set)
		if in.volumes[v].id == volume {
			target = v
		}
	}
	if target < 0 {
		return nil, fmt.Errorf("shares: there is no volume %q", volume)
	}
	if !s.evaluateNodes() {
		return nil, ErrNotFound
	}
	e := &Explanation{Volume: volume}
	for _, x := range a.Parts {
		if x.Volume == volume {
			e.Parts = append(e.Parts, x)
		}
	}
	set := s.sets[target]
	for n := range in.nodes {
		c := Choice{Node: in.nodes[n].id}
		if !slices.Contains(set, n) {
			c = s.evaluateChoice(target, n)
		}
		e.Choices = append(e.Choices, c)
	}
	slices.SortStableFunc(e.Choices, func(a, b Choice) int {
		switch {
		case (a.Why == "") != (b.Why == ""):
			if a.Why == "" {
				return -1
			}
			return 1
		case a.Why != "":
			return 0
		}
		return b.Change.Cmp(a.Change)
	})
	return e, nil
}

// evaluateChoice evaluates node n as a replacement for each of volume v's nodes and returns the
// best.
func (s *searchState) evaluateChoice(v, n int) Choice {
	in, x, set := s.in, &s.in.volumes[v], s.sets[v]
	best := Choice{Node: in.nodes[n].id, Change: minValue}
	for _, replaced := range set {
		next := s.replaceNode(set, replaced, n)
		why := ""
		if err := in.checkSet(v, next); err != nil {
			why = err.Error()
		}
		change, before := Value{}, s.moveValue(v)
		if why == "" {
			s.assign(v, next)
			change = s.moveValue(v).Sub(before)
			for _, m := range append(slices.Clone(set), n) { // rounding may change the part on each node by a milli-unit
				w, ok := s.evaluateNode(m)
				if !ok {
					why = fmt.Sprintf("node %s does not bear it: its ceiling of volumes, or the reserves there", in.nodes[m].id)
					break
				}
				change = change.Add(w).Sub(s.nodeValues[m])
			}
			s.assign(v, set)
		}
		if why == "" && change.Cmp(best.Change) > 0 {
			best.Change, best.Replaces, best.Why = change, in.nodes[replaced].id, ""
		} else if best.Replaces == "" && why != "" {
			best.Why = why
		}
	}
	if best.Replaces == "" {
		best.Change = Value{}
		if !x.allowed[n] {
			best.Why = "it is not ready, forbidden, or in a zone that is not allowed"
		}
	}
	return best
}
