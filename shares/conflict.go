package shares

import (
	"errors"
	"fmt"
	"slices"
)

// Constraint is one demand of a problem that can be left out.
type Constraint struct {
	Kind  string `json:"kind"`            // reserve, state, most_volumes, zones, least_zones, require, forbid, spread
	Table string `json:"table"`           // plans, nodes or volumes
	Index int    `json:"index"`           // in that table, as the file has it
	Name  string `json:"name"`            // of the plan, node or volume
	Other string `json:"other,omitempty"` // the node that is required or forbidden
}

func (c Constraint) String() string {
	text := fmt.Sprintf("%s[%d] %q: %s", c.Table, c.Index, c.Name, c.Kind)
	if c.Other != "" {
		text += fmt.Sprintf(" %q", c.Other)
	}
	return text
}

// constraints lists what can be left out of a problem.
func constraints(p *Problem) (all []Constraint) {
	for i, x := range p.Plans {
		if x.Reserve > 0 {
			all = append(all, Constraint{Kind: "reserve", Table: "plans", Index: i, Name: x.Name})
		}
	}
	for i, x := range p.Nodes {
		if x.MostVolumes > 0 {
			all = append(all, Constraint{Kind: "most_volumes", Table: "nodes", Index: i, Name: x.ID})
		}
		if x.State != "ready" {
			all = append(all, Constraint{Kind: "state", Table: "nodes", Index: i, Name: x.ID})
		}
	}
	for i, x := range p.Volumes {
		at := func(kind, other string) {
			all = append(all, Constraint{Kind: kind, Table: "volumes", Index: i, Name: x.ID, Other: other})
		}
		if len(x.Zones) > 0 {
			at("zones", "")
		}
		if x.LeastZones > 1 {
			at("least_zones", "")
		}
		for _, id := range x.Require {
			at("require", id)
		}
		for _, id := range x.Forbid {
			at("forbid", id)
		}
		at("spread", "")
	}
	return all
}

// without is a problem that some constraints are left out of. A volume whose spread is
// left out is not placed at all.
func without(p *Problem, left map[Constraint]bool) *Problem {
	q := *p
	q.Plans, q.Nodes, q.Volumes = slices.Clone(p.Plans), slices.Clone(p.Nodes), nil
	for c, out := range left {
		if !out {
			continue
		}
		switch c.Kind {
		case "reserve":
			q.Plans[c.Index].Reserve = 0
		case "most_volumes":
			q.Nodes[c.Index].MostVolumes = 0
		case "state":
			q.Nodes[c.Index].State = "ready"
		}
	}
	for i, x := range p.Volumes {
		at := func(kind, other string) bool {
			return left[Constraint{Kind: kind, Table: "volumes", Index: i, Name: x.ID, Other: other}]
		}
		if at("spread", "") {
			continue
		}
		if at("zones", "") {
			x.Zones = nil
		}
		if at("least_zones", "") {
			x.LeastZones = 0
		}
		keep := func(list []string, kind string) (kept []string) {
			for _, id := range list {
				if !at(kind, id) {
					kept = append(kept, id)
				}
			}
			return kept
		}
		x.Require, x.Forbid = keep(x.Require, "require"), keep(x.Forbid, "forbid")
		q.Volumes = append(q.Volumes, x)
	}
	return &q
}

// Conflict finds, for a problem of which Exact says that it has no placement, a set of
// constraints that cannot be met together, though they could if any one of them were left
// out. It leaves constraints out one after another, in the order of the file, as long as
// there is still no placement (a deletion filter: J. Chinneck and E. Dravnieks, "Locating
// minimal infeasible constraint sets in linear programs", ORSA Journal on Computing 3,
// 1991). steps bounds each of the exact searches; 0: no bound. It returns ErrSteps if one
// did not end, and no set if there is a placement.
func Conflict(p *Problem, steps int) ([]Constraint, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	none := func(left map[Constraint]bool) (bool, error) {
		_, err := Exact(without(p, left), steps)
		switch {
		case errors.Is(err, ErrNone):
			return true, nil
		case errors.Is(err, ErrSteps): // a placement may have been found all the same
			return false, err
		}
		return false, err
	}
	left := map[Constraint]bool{}
	if stuck, err := none(left); err != nil || !stuck {
		return nil, err
	}
	var conflict []Constraint
	for _, c := range constraints(p) {
		left[c] = true
		stuck, err := none(left)
		if err != nil {
			return nil, err
		}
		if !stuck {
			left[c] = false
			conflict = append(conflict, c)
		}
	}
	return conflict, nil
}
