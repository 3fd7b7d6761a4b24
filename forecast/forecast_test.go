package forecast

import (
	"bytes"
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 8, 13, 0, 0, 0, 0, time.UTC)

// newRecorder returns an empty Recorder.
func newRecorder(t testing.TB, set Settings) *Recorder {
	t.Helper()
	b, err := NewRecorder(set, nil)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestQuantileDeterminesWhetherSurgeCounts checks a volume that requests 10 units per second, and 100 during one hour
// of each of the last two days. The surge must count at the quantile 0.99 but not at 0.95, and no longer at 0.99 a
// week later.
func TestQuantileDeterminesWhetherSurgeCounts(t *testing.T) {
	b := newRecorder(t, Settings{Gateway: "g", Slot: time.Minute, Days: 8, MaxVolumes: 10})
	for m := range 5 * 24 * 60 {
		rate := 10.0
		if day := m / 1440; day >= 3 && m/60%24 == 9 {
			rate = 100
		}
		b.Add(start.Add(time.Duration(m)*time.Minute), map[string]float64{"v": rate * 60, "w": 1})
	}
	at := func(q, half float64) Demand {
		d, err := EstimateDemands(b.Record(), q, half)
		if err != nil {
			t.Fatal(err)
		}
		return d["v"]
	}
	near := func(got, want int64) bool { return math.Abs(float64(got-want)) <= 0.05*float64(want) }
	if d := at(0.95, 2); !near(d.AtQuantile, 10_000) || !near(d.Peak, 100_000) || d.Gateways != 1 {
		t.Errorf("at 0.95: %+v, want 10 units a second", d)
	}
	if d := at(0.99, 2); !near(d.AtQuantile, 100_000) {
		t.Errorf("at 0.99: %+v, want the surge", d)
	}
	for m := range 7 * 24 * 60 { // a week without a surge
		b.Add(start.Add(time.Duration(5*1440+m)*time.Minute), map[string]float64{"v": 600})
	}
	if d := at(0.99, 2); !near(d.AtQuantile, 10_000) || !near(d.Peak, 100_000) {
		t.Errorf("a week later: %+v, want 10 units a second; the peak is kept 8 days", d)
	}
}

// TestSketchErrorBound checks that quantiles of random demand are within 5%.
func TestSketchErrorBound(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	b := newRecorder(t, Settings{Gateway: "g", Slot: time.Minute, Days: 2, MaxVolumes: 10})
	var all []float64
	for m := range 1400 {
		rate := math.Exp(rng.NormFloat64()) * 20
		all = append(all, rate*1000)
		b.Add(start.Add(time.Duration(m)*time.Minute), map[string]float64{"v": rate * 60})
	}
	b.Advance(start.Add(1400 * time.Minute))
	for _, q := range []float64{0.5, 0.9, 0.99, 1} {
		d, err := EstimateDemands(b.Record(), q, 1)
		if err != nil {
			t.Fatal(err)
		}
		below := 0
		for _, x := range all {
			if x <= float64(d["v"].AtQuantile)*1.05 {
				below++
			}
		}
		above := 0
		for _, x := range all {
			if x < float64(d["v"].AtQuantile)*0.95 {
				above++
			}
		}
		if float64(below) < q*1400-1 || float64(above) > q*1400 {
			t.Errorf("quantile %v is %d: %d of 1,400 rates at or below it, %d clearly below", q, d["v"].AtQuantile, below, above)
		}
	}
}

// drawRecord draws a record of a few gateways, days and volumes.
func drawRecord(t *rapid.T, label string) *Record {
	r := &Record{Slot: time.Minute, Gateways: map[string]map[int64]*Day{}}
	for range rapid.IntRange(0, 3).Draw(t, label+" gateways") {
		days := map[int64]*Day{}
		for range rapid.IntRange(0, 3).Draw(t, label+" days") {
			d := &Day{Slots: uint32(rapid.IntRange(4, 6).Draw(t, label+" slots")), Volumes: map[string]Sketch{}}
			for range rapid.IntRange(0, 2).Draw(t, label+" volumes") {
				d.Volumes[rapid.SampledFrom([]string{"v", "w"}).Draw(t, label+" volume")] =
					Sketch{{uint16(rapid.IntRange(1, 3).Draw(t, label+" index")), uint32(rapid.IntRange(1, 3).Draw(t, label+" count"))}}
			}
			days[int64(rapid.IntRange(1, 3).Draw(t, label+" day"))] = d
		}
		r.Gateways[rapid.SampledFrom([]string{"g", "h", "i"}).Draw(t, label+" gateway")] = days
	}
	return r
}

// TestMergeIsASemilattice checks that Merge is associative, commutative and idempotent for arbitrary records, including
// different versions of one gateway's day, and that a decoded record equals the encoded one.
func TestMergeIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		merge := func(x, y *Record) *Record {
			m, err := Merge(x, y)
			if err != nil {
				t.Fatal(err)
			}
			return m
		}
		encode := func(r *Record) []byte {
			x, err := r.Encode()
			if err != nil {
				t.Fatal(err)
			}
			return x
		}
		one := encode(merge(merge(a, b), c))
		for i, other := range []*Record{merge(a, merge(b, c)), merge(c, merge(b, a)), merge(merge(merge(a, b), c), b)} {
			if !bytes.Equal(one, encode(other)) {
				t.Fatalf("order %d gives a different result", i)
			}
		}
		m := merge(a, b)
		back, err := ReadRecord(encode(m))
		if err != nil || !reflect.DeepEqual(back, m) {
			t.Fatalf("read back: %v, %+v, not %+v", err, back, m)
		}
	})
	// Two versions of one gateway's day with equal slots and different volumes: the two calls must not each keep the
	// version of their own first argument. Random records rarely contain this case.
	of := func(volume string) *Record {
		return &Record{Slot: time.Minute, Gateways: map[string]map[int64]*Day{"h": {1: {Slots: 4, Volumes: map[string]Sketch{volume: {{1, 1}}}}}}}
	}
	vw, _ := Merge(of("v"), of("w"))
	wv, _ := Merge(of("w"), of("v"))
	if !reflect.DeepEqual(vw, wv) {
		t.Errorf("merged in one order %+v, in the other %+v", vw, wv)
	}
	if _, err := Merge(&Record{Slot: time.Minute}, &Record{Slot: time.Second}); err == nil || !strings.Contains(err.Error(), "forecast.slot") {
		t.Errorf("other slots: %v", err)
	}
}

// TestDemandSumsGateways checks that the demand of a volume is summed over gateways.
func TestDemandSumsGateways(t *testing.T) {
	var all *Record
	for _, g := range []string{"g", "h"} {
		b := newRecorder(t, Settings{Gateway: g, Slot: time.Minute, Days: 2, MaxVolumes: 10})
		for m := range 100 {
			b.Add(start.Add(time.Duration(m)*time.Minute), map[string]float64{"v": 600})
		}
		r := b.Record()
		if all == nil {
			all = r
		}
		var err error
		if all, err = Merge(all, r); err != nil {
			t.Fatal(err)
		}
	}
	d, err := EstimateDemands(all, 0.9, 1)
	if err != nil || d["v"].Gateways != 2 || math.Abs(float64(d["v"].AtQuantile)-20_000) > 1000 {
		t.Errorf("%+v, %v", d, err)
	}
}

// TestRestart checks that a recorder continues an earlier record, that a clock that moves backwards adds no slots, and
// that a long gap is not counted as time without demand.
func TestRestart(t *testing.T) {
	set := Settings{Gateway: "g", Slot: time.Minute, Days: 3, MaxVolumes: 10}
	b := newRecorder(t, set)
	for m := range 30 {
		b.Add(start.Add(time.Duration(m)*time.Minute), map[string]float64{"v": 60})
	}
	b.Add(start.Add(-time.Hour), map[string]float64{"v": 60})
	first := b.Record()
	b, err := NewRecorder(set, first)
	if err != nil {
		t.Fatal(err)
	}
	b.Add(start.Add(40*time.Minute), map[string]float64{"v": 60})
	b.Add(start.Add(8*time.Hour), map[string]float64{"v": 60})
	b.Add(start.Add(8*time.Hour+5*time.Minute), nil)
	var day *Day
	for _, day = range b.Record().Gateways["g"] {
	}
	if day.Slots != 29+1+5 || day.Volumes["v"].totalSlots() != 29+1+1 {
		t.Errorf("%d slots, %d with demand", day.Slots, day.Volumes["v"].totalSlots())
	}
	m, err := Merge(first, b.Record())
	if err != nil || m.Gateways["g"][start.Unix()/86_400].Slots != 35 {
		t.Errorf("the later record is not kept: %v", err)
	}
}

// TestVolumesAndBucketsAreLimited checks that at the limit of volumes those with the highest demand are kept, and that
// the number of buckets per day is limited.
func TestVolumesAndBucketsAreLimited(t *testing.T) {
	b := newRecorder(t, Settings{Gateway: "g", Slot: time.Minute, Days: 2, MaxVolumes: 100})
	for m := range 50 {
		units := map[string]float64{}
		for i := range 50 {
			units[fmt.Sprint("passing", m, ".", i)] = 1
		}
		for i := range 40 {
			units[fmt.Sprint("steady", i)] = 1000
		}
		b.Add(start.Add(time.Duration(m)*time.Minute), units)
		if len(b.volumeNames) > 100 || len(b.slotUnits) > 200 {
			t.Fatalf("%d volumes are held, %d in the slot", len(b.volumeNames), len(b.slotUnits))
		}
	}
	for i := range 40 {
		if !b.volumeNames[fmt.Sprint("steady", i)] {
			t.Errorf("steady%d was dropped", i)
		}
	}
	if b.DroppedVolumes == 0 {
		t.Error("no volume is counted as dropped")
	}
	var s Sketch
	for x := 1.0; x < 1e12; x *= 1.05 {
		s = s.add(x)
	}
	if len(s) != maxBuckets || s.totalSlots() < 500 {
		t.Errorf("%d buckets, %d slots", len(s), s.totalSlots())
	}
}

func TestReadRecordRejectsInvalidInput(t *testing.T) {
	good := &Record{Slot: time.Minute, Gateways: map[string]map[int64]*Day{"g": {1: {Slots: 9, Volumes: map[string]Sketch{"v": {{3, 4}}}}}}}
	b, err := good.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for n := range b {
		if _, err := ReadRecord(b[:n]); err == nil {
			t.Fatalf("a record cut at byte %d is accepted", n)
		}
	}
	for want, change := range map[string]func(r *Record){
		"slot = 0s": func(r *Record) { r.Slot = 0 },
		"of 3":      func(r *Record) { r.Gateways["g"][1].Slots = 3 },
		"in order":  func(r *Record) { r.Gateways["g"][1].Volumes["v"] = Sketch{{3, 1}, {2, 1}} },
		"pairs":     func(r *Record) { r.Gateways["g"][1].Volumes["v"] = nil },
	} {
		r, _ := ReadRecord(b)
		change(r)
		bad, _ := r.Encode()
		if _, err := ReadRecord(bad); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	if _, err := EstimateDemands(good, 1.5, 1); err == nil {
		t.Error("a quantile of 1.5 is accepted")
	}
}

func FuzzReadRecord(f *testing.F) {
	r := &Record{Slot: time.Minute, Gateways: map[string]map[int64]*Day{"g": {1: {Slots: 9, Volumes: map[string]Sketch{"v": {{3, 4}}}}}}}
	b, _ := r.Encode()
	f.Add(b)
	f.Add([]byte("eiderhold-forecast 1 0 af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := ReadRecord(b); err == nil {
			if _, err := r.Encode(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// BenchmarkMemory reports the heap used for 10,000 volumes over 8 days by this package's sketches and, for comparison,
// by one HDR histogram (1 significant figure) per volume and day.
func BenchmarkMemory(b *testing.B) {
	const volumes, days = 10_000, 8
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	b.Run("sketches", func(b *testing.B) {
		for range b.N {
			before := heap()
			bk := newRecorder(b, Settings{Gateway: "g", Slot: time.Minute, Days: days, MaxVolumes: volumes})
			rng := rand.New(rand.NewSource(1))
			names := make([]string, volumes)
			for i := range names {
				names[i] = fmt.Sprint("v", i)
			}
			took := time.Duration(0)
			for d := range days {
				for s := range 150 { // slots with demand, of 1,440
					units := make(map[string]float64, volumes)
					for _, v := range names {
						units[v] = math.Exp(rng.NormFloat64()) * 600
					}
					at := time.Now()
					bk.Add(start.Add(time.Duration(d*1440+s*9)*time.Minute), units)
					took += time.Since(at)
				}
			}
			b.ReportMetric((heap()-before)/1e6, "MB")
			b.ReportMetric(float64(took.Milliseconds())/(days*150), "ms/slot")
			r, err := bk.Record().Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(r))/1e6, "MB-file")
		}
	})
	b.Run("hdr", func(b *testing.B) {
		for range b.N {
			before := heap()
			all := make([]*hdrhistogram.Histogram, 0, volumes/10*days)
			for range volumes / 10 * days { // a tenth of them, scaled up by 10 in the report
				all = append(all, hdrhistogram.New(1, 1_000_000_000_000, 1))
			}
			b.ReportMetric(10*(heap()-before)/1e6, "MB")
			runtime.KeepAlive(all)
		}
	})
}
