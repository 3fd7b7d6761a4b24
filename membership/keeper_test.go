package membership

import (
	"fmt"
	"testing"
	"time"
)

// agent plays discovery in explicit time: what a try that begins at a moment comes to, and how long that takes.
// after 0: it never speaks, and the keeper has to give it up.
type agent func(now time.Duration, whole bool) (ok bool, after time.Duration)

// play runs a keeper before an agent until the moment until, and returns when each watch that was kept was
// proved, and how many tries there were.
func play(k *Keeper, a agent, from, until time.Duration) (proved []time.Duration, tries int) {
	now, ends, ok := from, time.Duration(0), false
	for now < until {
		switch s := k.Next(now); s {
		case Ask, AskAll:
			tries++
			var after time.Duration
			ok, after = a(now, s == AskAll)
			if ends = now + after; after == 0 {
				ends = 1 << 62
			}
		case GiveUp, Refrain:
			ends = 0
		case Rest:
			next := k.Due(now)
			if ends > 0 && ends <= next {
				now = max(now, ends)
				ends = 0
				if ok {
					proved = append(proved, now)
					k.Proved(now)
				} else {
					k.Failed(now)
				}
				continue
			}
			if next <= now {
				panic(fmt.Sprintf("at %v nothing is to be done, and the next look is due at %v", now, next))
			}
			now = next
		}
	}
	return proved, tries
}

// TestTold adds up what may follow a watch that falls silent, for each thing that two tries in a row may come
// to: what it missed is there within the time in which it counts as told.
func TestTold(t *testing.T) {
	ms := time.Millisecond
	bad := []struct {
		name  string
		after time.Duration // 0: says nothing, or never an object
	}{{"says nothing, half a head, half an object, beats only", 0}, {"refuses", ms}, {"ends just before its time", Usual.Try - ms}}
	for _, first := range bad {
		for _, second := range bad {
			t.Run(first.name+"; "+second.name, func(t *testing.T) {
				k := NewKeeper(Usual, false)
				play(k, func(time.Duration, bool) (bool, time.Duration) { return true, ms }, 0, 50*ms)
				silent := 20 * time.Second
				k.Heard(silent)
				n := 0
				proved, _ := play(k, func(time.Duration, bool) (bool, time.Duration) {
					if n++; n <= 2 {
						return false, []time.Duration{first.after, second.after}[n-1]
					}
					return true, Usual.Try - ms
				}, silent, silent+2*Told)
				if len(proved) == 0 || proved[0] > silent+Told-250*ms {
					t.Fatalf("proved at %v, silent since %v", proved, silent)
				}
			})
		}
	}
	if sum := Usual.Silence + 3*(Usual.Try+Usual.PauseTop); sum >= Told {
		t.Errorf("the bounds come to %v, Told is %v", sum, Told)
	}
}

// TestReturn: discovery is down for long; as it is back a watch stands within a pause and two tries.
func TestReturn(t *testing.T) {
	for _, down := range []time.Duration{0, time.Millisecond} { // silent, or refusing
		k := NewKeeper(Usual, false)
		back := 4 * time.Second
		proved, tries := play(k, func(now time.Duration, _ bool) (bool, time.Duration) {
			if now < back {
				return false, down
			}
			return true, time.Millisecond
		}, 0, back+5*time.Second)
		if len(proved) < 1 || proved[0]-back > Usual.Try+Usual.PauseTop+10*time.Millisecond {
			t.Errorf("back at %v, proved at %v", back, proved)
		}
		if tries > 40 {
			t.Errorf("%d tries", tries)
		}
	}
}

// TestKept: a watch that speaks is not given up for one that does not, and one that speaks again ends the trial.
func TestKept(t *testing.T) {
	k := NewKeeper(Usual, false)
	if s := k.Next(0); s != Ask {
		t.Fatalf("step %d", s)
	}
	k.Proved(0)
	if s := k.Next(Usual.Silence - 1); s != Rest || k.Due(0) != Usual.Silence {
		t.Fatalf("step %d, due %v", s, k.Due(0))
	}
	if s := k.Next(Usual.Silence); s != Ask {
		t.Fatalf("silent: step %d", s)
	}
	k.Heard(Usual.Silence + 1)
	if s := k.Next(Usual.Silence + 2); s != Refrain {
		t.Fatalf("it speaks again: step %d", s)
	}
	k.Moved(Usual.Silence + 3)
	if s := k.Next(Usual.Silence + 3); s != Ask {
		t.Fatalf("moved: step %d", s)
	}
	k.Heard(Usual.Silence + 4)
	if s := k.Next(Usual.Silence + 5); s != Rest || !k.kept {
		t.Fatalf("the former one speaks while the new one is on trial: step %d, kept %v", s, k.kept)
	}
	k.Proved(Usual.Silence + 6)
	if s := k.Next(Usual.Silence + 7); s != Rest {
		t.Fatalf("step %d", s)
	}
}

// TestAstray: what does not follow on what is held has the whole list asked for, then a watch from there.
func TestAstray(t *testing.T) {
	k := NewKeeper(Usual, true)
	for i, want := range []Step{AskAll, Ask, Rest, AskAll, Ask, Rest} {
		if i == 3 {
			k.Astray()
		}
		s := k.Next(0)
		if s != want {
			t.Fatalf("step %d is %d, expected %d", i, s, want)
		}
		if s != Rest {
			k.Proved(0)
		}
	}
}

// TestSlowAgent: one that needs longer than a try has is heard in the end; one that ends each watch at once is not
// asked more than some times a second.
func TestSlowAgent(t *testing.T) {
	slow := func(time.Duration, bool) (bool, time.Duration) { return true, 3 * time.Second }
	if proved, _ := play(NewKeeper(Usual, false), slow, 0, time.Minute); len(proved) == 0 {
		t.Error("never heard")
	}
	k, now, tries := NewKeeper(Usual, false), time.Duration(0), 0
	for now < 10*time.Second {
		if k.Next(now) == Ask {
			tries++
			k.Proved(now)
			k.Ended(now)
		}
		now = max(now+time.Millisecond, k.Due(now))
	}
	if tries > 60 {
		t.Errorf("%d watches in 10 s", tries)
	}
}
