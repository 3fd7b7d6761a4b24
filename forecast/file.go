package forecast

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"eiderhold/internal/sealed"
)

// Format is the version of the record format that Encode writes: a frame of package sealed around MessagePack arrays
// in fixed order: [slot ns, [[gateway, [[day, slots, [[volume, [index, count, index, count, ...]], ...]], ...]], ...]].
const (
	Format         = 1
	recordKind     = "eiderhold-forecast"
	maxRecordBytes = 1 << 30 // largest encoded record that is read
)

// encodedVolume is the encoded form of one volume's Sketch.
type encodedVolume struct {
	//lint:ignore U1000 The encoder reads the tag of this field.
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Buckets  []uint32
}

// encodedDay is the encoded form of a Day.
type encodedDay struct {
	//lint:ignore U1000 The encoder reads the tag of this field.
	_msgpack struct{} `msgpack:",as_array"`
	Day      int64
	Slots    uint32
	Volumes  []encodedVolume
}

// encodedGateway is the encoded form of one gateway's days.
type encodedGateway struct {
	//lint:ignore U1000 The encoder reads the tag of this field.
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Days     []encodedDay
}

// encodedRecord is the encoded form of a Record.
type encodedRecord struct {
	//lint:ignore U1000 The encoder reads the tag of this field.
	_msgpack struct{} `msgpack:",as_array"`
	Slot     int64
	Gateways []encodedGateway
}

// Encode returns the encoded record. Equal records have equal encodings.
func (r *Record) Encode() ([]byte, error) {
	encoded := encodedRecord{Slot: int64(r.Slot)}
	for _, g := range slices.Sorted(maps.Keys(r.Gateways)) {
		gateway := encodedGateway{Name: g}
		for _, k := range slices.Sorted(maps.Keys(r.Gateways[g])) {
			stored := r.Gateways[g][k]
			day := encodedDay{Day: k, Slots: stored.Slots}
			for _, v := range slices.Sorted(maps.Keys(stored.Volumes)) {
				pairs := make([]uint32, 0, 2*len(stored.Volumes[v]))
				for _, b := range stored.Volumes[v] {
					pairs = append(pairs, uint32(b.Index), b.Count)
				}
				day.Volumes = append(day.Volumes, encodedVolume{Name: v, Buckets: pairs})
			}
			gateway.Days = append(gateway.Days, day)
		}
		encoded.Gateways = append(encoded.Gateways, gateway)
	}
	body, err := msgpack.Marshal(&encoded)
	if err != nil {
		return nil, fmt.Errorf("forecast: %w", err)
	}
	return sealed.Seal(recordKind, Format, body), nil
}

// ReadRecord decodes a record and validates all of it.
func ReadRecord(b []byte) (*Record, error) {
	body, err := sealed.Open(recordKind, Format, maxRecordBytes, b)
	if err != nil {
		return nil, fmt.Errorf("forecast: record: %w", err)
	}
	var encoded encodedRecord
	if err := msgpack.Unmarshal(body, &encoded); err != nil {
		return nil, fmt.Errorf("forecast: record: %w", err)
	}
	r := &Record{Slot: time.Duration(encoded.Slot), Gateways: map[string]map[int64]*Day{}}
	if set := (Settings{Slot: r.Slot, Days: 1, MaxVolumes: 1}); set.Check() != nil {
		return nil, fmt.Errorf("forecast: record: %w", set.Check())
	}
	for _, g := range encoded.Gateways {
		if r.Gateways[g.Name] != nil {
			return nil, fmt.Errorf("forecast: record: gateway %q is listed twice", g.Name)
		}
		r.Gateways[g.Name] = map[int64]*Day{}
		for _, x := range g.Days {
			d := &Day{Slots: x.Slots, Volumes: make(map[string]Sketch, len(x.Volumes))}
			for _, v := range x.Volumes {
				s, err := decodeBuckets(v.Buckets, x.Slots)
				if err != nil {
					return nil, fmt.Errorf("forecast: record: gateway %q, day %d, volume %q: %w", g.Name, x.Day, v.Name, err)
				}
				d.Volumes[v.Name] = s
			}
			r.Gateways[g.Name][x.Day] = d
		}
	}
	return r, nil
}

// decodeBuckets decodes the index and count pairs of a volume that was seen on a day of the given number of slots.
func decodeBuckets(pairs []uint32, slots uint32) (Sketch, error) {
	if len(pairs)%2 != 0 || len(pairs) == 0 || len(pairs) > 2*maxBuckets {
		return nil, fmt.Errorf("%d numbers: expected pairs, 1 to %d of them", len(pairs), maxBuckets)
	}
	var sketch Sketch
	sum := uint64(0)
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i] > 1000 || i > 0 && pairs[i] <= pairs[i-2] || pairs[i+1] == 0 {
			return nil, errors.New("buckets: expected them in order, up to index 1000 and none empty")
		}
		sum += uint64(pairs[i+1])
		sketch = append(sketch, Bucket{uint16(pairs[i]), pairs[i+1]})
	}
	if sum > uint64(slots) {
		return nil, fmt.Errorf("%d slots with demand, of %d", sum, slots)
	}
	return sketch, nil
}
