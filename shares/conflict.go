package shares

import (
	"errors"
	"fmt"
	"slices"
)

// Constraint identifies one constraint of a problem that Conflict may omit.
type Constraint struct {
	Kind  string `json:"kind"`            // reserve, state, most_volumes, zones, least_zones, require, forbid, spread
	Table string `json:"table"`           // plans, nodes or volumes
	Index int    `json:"index"`           // in that table, in the order of the file
	Name  string `json:"name"`            // of the plan, node or volume
	Other string `json:"other,omitempty"` // the node that is required or forbidden
}

// String returns the constraint as a line of text, such as `volumes[0] "v": require "n"`.
func (c Constraint) String() string {
	text := fmt.Sprintf("%s[%d] %q: %s", c.Table, c.Index, c.Name, c.Kind)
	if c.Other != "" {
		text += fmt.Sprintf(" %q", c.Other)
	}
	return text
}

// constraints lists the constraints of a problem that can be omitted.
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
		add := func(kind, other string) {
			all = append(all, Constraint{Kind: kind, Table: "volumes", Index: i, Name: x.ID, Other: other})
		}
		if len(x.Zones) > 0 {
			add("zones", "")
		}
		if x.LeastZones > 1 {
			add("least_zones", "")
		}
		for _, id := range x.Require {
			add("require", id)
		}
		for _, id := range x.Forbid {
			add("forbid", id)
		}
		add("spread", "")
	}
	return all
}

// withoutConstraints returns a copy of p without the omitted constraints. Omitting a volume's
// spread removes the volume from the problem.
func withoutConstraints(p *Problem, omitted map[Constraint]bool) *Problem {
	q := *p
	q.Plans, q.Nodes, q.Volumes = slices.Clone(p.Plans), slices.Clone(p.Nodes), nil
	for c, out := range omitted {
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
		isOmitted := func(kind, other string) bool {
			return omitted[Constraint{Kind: kind, Table: "volumes", Index: i, Name: x.ID, Other: other}]
		}
		if isOmitted("spread", "") {
			continue
		}
		if isOmitted("zones", "") {
			x.Zones = nil
		}
		if isOmitted("least_zones", "") {
			x.LeastZones = 0
		}
		remaining := func(list []string, kind string) (kept []string) {
			for _, id := range list {
				if !isOmitted(kind, id) {
					kept = append(kept, id)
				}
			}
			return kept
		}
		x.Require, x.Forbid = remaining(x.Require, "require"), remaining(x.Forbid, "forbid")
		q.Volumes = append(q.Volumes, x)
	}
	return &q
}

// Conflict finds, for a problem that Exact reports infeasible, a minimal set of conflicting
// constraints: they cannot be met together, but any proper subset can. It omits constraints
// one after another, in the order of the file, as long as the problem stays infeasible (a
// deletion filter: J. Chinneck and E. Dravnieks, "Locating minimal infeasible constraint sets
// in linear programs", ORSA Journal on Computing 3, 1991). steps limits each exact search; 0
// means no limit. Conflict returns ErrStepLimit if a search reached the limit, and a nil set if
// the problem has a placement.
func Conflict(p *Problem, steps int) ([]Constraint, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	infeasible := func(omitted map[Constraint]bool) (bool, error) {
		_, err := Exact(withoutConstraints(p, omitted), steps)
		switch {
		case errors.Is(err, ErrInfeasible):
			return true, nil
		case errors.Is(err, ErrStepLimit): // the search may have found a placement nevertheless
			return false, err
		}
		return false, err
	}
	omitted := map[Constraint]bool{}
	if conflicting, err := infeasible(omitted); err != nil || !conflicting {
		return nil, err
	}
	var conflict []Constraint
	for _, c := range constraints(p) {
		omitted[c] = true
		conflicting, err := infeasible(omitted)
		if err != nil {
			return nil, err
		}
		if !conflicting {
			omitted[c] = false
			conflict = append(conflict, c)
		}
	}
	return conflict, nil
}
