package standin

import (
	"math"
	"sync"
	"time"
)

// Meter is a stand-in of the storage side's volume meter. It gives the recent rate of units that all nodes served
// for each volume, as a percentage of the volume's nominal rate.
type Meter struct {
	span    time.Duration
	nominal map[string]float64 // volume -> units a second

	mu     sync.Mutex
	usages map[string]*usage
}

// usage is what all nodes served for one volume.
type usage struct {
	sum float64 // units, decaying exponentially with the span as time constant
	at  time.Time
}

// NewMeter returns a meter. A volume without a nominal rate is not metered.
func NewMeter(span time.Duration, nominal map[string]float64) *Meter {
	return &Meter{span: span, nominal: nominal, usages: map[string]*usage{}}
}

// record counts units served and returns 1 + percent of the nominal rate, or 0 for a volume that is not metered.
func (m *Meter) record(volume string, units float64) uint16 {
	if m == nil || m.nominal[volume] <= 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now, u := time.Now(), m.usages[volume]
	if u == nil {
		u = &usage{at: now}
		m.usages[volume] = u
	}
	u.sum = u.sum*math.Exp(-float64(now.Sub(u.at))/float64(m.span)) + units
	u.at = now
	percent := 100 * u.sum / m.span.Seconds() / m.nominal[volume]
	return uint16(1 + min(percent, math.MaxUint16-1))
}

// volumeCount holds the units that one node served for a volume.
type volumeCount struct {
	total     float64
	byGateway map[string]float64
	reported  map[string]float64 // gateway -> units of other gateways that its last answer included
}

// servedByOthers counts units served through a gateway. It returns the milli-units that were served through
// other gateways since it last did so for this gateway. The caller holds n.mu.
func (n *Node) servedByOthers(volume, gateway string, units float64) uint32 {
	c := n.served[volume]
	if c == nil {
		c = &volumeCount{byGateway: map[string]float64{}, reported: map[string]float64{}}
		n.served[volume] = c
	}
	c.total += units
	c.byGateway[gateway] += units
	others := c.total - c.byGateway[gateway]
	since := others - c.reported[gateway]
	c.reported[gateway] = others
	return uint32(min(since*1000, math.MaxUint32))
}
