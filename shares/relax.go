package shares

import (
	"cmp"
	"errors"
	"slices"
)

// Relax solves a problem in which not all volumes can be placed together. It adds volumes in
// descending order of price, then by id, and omits each one that cannot be placed with those
// added so far. It returns the ids of the omitted volumes in order; if all volumes can be
// placed, it omits none. If exact is true, each addition is decided by an exact search of at
// most opt.Steps steps. Otherwise it is decided by placing the volume and relocating a few
// others, and opt.Steps applies to the search that follows.
func Relax(p *Problem, exact bool, opt Options) (*SearchResult, []string, error) {
	if err := p.Check(); err != nil {
		return nil, nil, err
	}
	prices := map[string]int64{}
	for _, x := range p.Plans {
		prices[x.Name] = x.Price
	}
	order := slices.Clone(p.Volumes)
	slices.SortFunc(order, func(a, b Volume) int {
		return cmp.Or(cmp.Compare(prices[b.Plan], prices[a.Plan]), cmp.Compare(a.ID, b.ID))
	})
	var kept, omitted []string
	var err error
	if exact {
		kept, omitted, err = relaxExact(p, order, opt.Steps)
	} else {
		kept, omitted = relaxHeuristic(p, order, opt.Seed)
	}
	if err != nil {
		return nil, nil, err
	}
	slices.Sort(omitted)
	q := withVolumes(p, kept)
	if exact {
		a, err := Exact(q, opt.Steps)
		if a == nil {
			return nil, nil, err
		}
		f := &SearchResult{Answer: a, Bound: a.Value}
		if err != nil {
			f.Bound = Bound(q)
		}
		return f, omitted, err
	}
	f, err := Search(q, opt)
	return f, omitted, err
}

// withVolumes returns a copy of p with only the volumes of the given ids.
func withVolumes(p *Problem, ids []string) *Problem {
	wanted := map[string]bool{}
	for _, id := range ids {
		wanted[id] = true
	}
	q := *p
	q.Volumes = nil
	for _, v := range p.Volumes {
		if wanted[v.ID] {
			q.Volumes = append(q.Volumes, v)
		}
	}
	return &q
}

// relaxExact divides volumes into kept and omitted ones by an exact search for each volume.
func relaxExact(p *Problem, order []Volume, steps int) (kept, omitted []string, err error) {
	for _, v := range order {
		_, err := Exact(withVolumes(p, append(kept, v.ID)), steps)
		switch {
		case errors.Is(err, ErrInfeasible):
			omitted = append(omitted, v.ID)
		case err != nil:
			return nil, nil, err
		default:
			kept = append(kept, v.ID)
		}
	}
	return kept, omitted, nil
}

const maxRelaxTries = 20 // sets tried for a volume that fits only if others are relocated

// relaxHeuristic divides volumes into kept and omitted ones by forcePlace.
func relaxHeuristic(p *Problem, order []Volume, seed uint64) (kept, omitted []string) {
	in := p.instance()
	s := newSearchState(in, seed)
	volumeIndex := map[string]int{}
	for i := range in.volumes {
		volumeIndex[in.volumes[i].id] = i
	}
	for _, v := range order {
		if s.forcePlace(volumeIndex[v.ID]) {
			kept = append(kept, v.ID)
		} else {
			omitted = append(omitted, v.ID)
		}
	}
	return kept, omitted
}

// forcePlace places a volume, relocating others if necessary. If it fails, it restores the
// previous placement.
func (s *searchState) forcePlace(v int) bool {
	if set := s.chooseSet(v, false); set != nil && s.in.checkSet(v, set) == nil {
		s.assign(v, set)
		return true
	}
	for range maxRelaxTries {
		set := s.chooseSet(v, true)
		if set == nil || s.in.checkSet(v, set) != nil {
			return false
		}
		old := map[int][]int{}
		s.assign(v, set)
		for _, n := range set {
			for _, ok := s.evaluateNode(n); !ok && len(s.loads[n]) > 1; _, ok = s.evaluateNode(n) {
				out := s.loads[n][s.rng.IntN(len(s.loads[n]))].volume
				if out != v {
					old[out] = s.sets[out]
					s.assign(out, nil)
				}
			}
		}
		evicted := make([]int, 0, len(old))
		for u := range old {
			evicted = append(evicted, u)
		}
		slices.Sort(evicted)
		allFit := true
		for _, n := range set {
			_, ok := s.evaluateNode(n)
			allFit = allFit && ok
		}
		for _, u := range evicted {
			if !allFit {
				break
			}
			set := s.chooseSet(u, false)
			if allFit = set != nil && s.in.checkSet(u, set) == nil; allFit {
				s.assign(u, set)
			}
		}
		if allFit {
			return true
		}
		for _, u := range evicted {
			s.assign(u, nil)
		}
		s.assign(v, nil)
		for _, u := range evicted {
			s.assign(u, old[u])
		}
	}
	return false
}
