package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"eiderhold/control"
)

// settingsMessage holds the keys of the settings message that are used. Unknown keys are ignored.
type settingsMessage struct {
	Balancers int `json:"balancers"`
	Classes   []struct {
		Name       string  `json:"name"`
		Effect     string  `json:"effect"`
		DedupScope string  `json:"dedup_scope"`
		WindowMS   float64 `json:"window_ms"`
		SloMS      float64 `json:"slo_ms"`
		DeadlineMS float64 `json:"deadline_ms"`
		Credit     float64 `json:"credit"`
		LateWorth  float64 `json:"late_worth"`
		InOrder    bool    `json:"in_order"`
	} `json:"classes"`
	Policies []struct {
		Name      string  `json:"name"`
		Nominal   float64 `json:"nominal"`
		Pays      float64 `json:"pays"`
		Reserve   float64 `json:"reserve"`
		Shares    float64 `json:"shares"`
		Cap       float64 `json:"cap"`
		Burst     float64 `json:"burst"`
		Tolerance float64 `json:"tolerance"`
	} `json:"policies"`
	Discovery  string `json:"discovery"`
	FamilyInfo struct {
		ColdBears   float64 `json:"cold_bears"`
		IdleWorth   float64 `json:"idle_worth"`
		MostUnits   float64 `json:"most_units"`
		SlotsTotal  int     `json:"slots_total"`
		UnitMean    float64 `json:"unit_mean"`
		UsePeriodMS float64 `json:"use_period_ms"`
		WithinShare float64 `json:"within_share"`
		Writes      []bool  `json:"writes"`
	} `json:"family_info"`
	Limits struct {
		Cancelling      bool    `json:"cancelling"`
		ConnIdleMS      float64 `json:"conn_idle_ms"`
		DialTimeoutMS   float64 `json:"dial_timeout_ms"`
		MaxAttempts     int     `json:"max_attempts"`
		MaxRetryAfterMS float64 `json:"max_retry_after_ms"`
		Probes          bool    `json:"probes"`
		SecondCopies    bool    `json:"second_copies"`
	} `json:"limits"`
	Safety struct {
		BudgetFree         float64 `json:"budget_free"`
		ColdMS             float64 `json:"cold_ms"`
		DrainGraceMS       float64 `json:"drain_grace_ms"`
		FallMS             float64 `json:"fall_ms"`
		MustAskInMS        float64 `json:"must_ask_in_ms"`
		OverloadFactor     float64 `json:"overload_factor"`
		ResendRatio        float64 `json:"resend_ratio"`
		ResendSpanMS       float64 `json:"resend_span_ms"`
		SettleAfterDoubtMS float64 `json:"settle_after_doubt_ms"`
		StartCapacity      float64 `json:"start_capacity"`
	} `json:"safety"`
	Tariffs struct {
		Probe float64 `json:"probe"`
	} `json:"tariffs"`
	Telemetry struct {
		Fields []string `json:"fields"`
	} `json:"telemetry"`
}

var effects = map[string]control.Effect{
	"retryable": control.Safe, "dedup": control.Keyed, "fragile": control.Unsafe,
}

var groups = map[string]control.Group{
	"": control.GroupAll, "all": control.GroupAll, "zone": control.GroupZone, "cell": control.GroupCell,
}

// ConnectionSettings holds the settings of connections to nodes. They apply to the host that opens the connections,
// not to the controller.
type ConnectionSettings struct {
	IdleTimeout time.Duration // a node closes a connection that has been idle for this long; 0: it does not
	DialTimeout time.Duration // a node that does not accept a connection in this time is unreachable; 0: not set
}

// ParseConnectionSettings parses the connection settings of a start message.
func ParseConnectionSettings(text []byte) (ConnectionSettings, error) {
	var message settingsMessage
	if err := json.Unmarshal(text, &message); err != nil {
		return ConnectionSettings{}, fmt.Errorf("settings: %w", err)
	}
	conns := ConnectionSettings{duration(message.Limits.ConnIdleMS), duration(message.Limits.DialTimeoutMS)}
	if conns.IdleTimeout < 0 || conns.DialTimeout < 0 {
		return conns, fmt.Errorf("settings: limits: conn_idle_ms %v, dial_timeout_ms %v: expected none below 0",
			message.Limits.ConnIdleMS, message.Limits.DialTimeoutMS)
	}
	return conns, nil
}

// check validates names and counts and returns an error for an invalid field. The controller validates the
// other values.
func (s *settingsMessage) check() error {
	if s.Discovery != "" && s.Discovery != "pushed" && s.Discovery != "on_request" {
		return fmt.Errorf("discovery: %q: expected pushed or on_request", s.Discovery)
	}
	for name, n := range map[string]int{"balancers": s.Balancers, "family_info.slots_total": s.FamilyInfo.SlotsTotal,
		"limits.max_attempts": s.Limits.MaxAttempts} {
		if n < 0 {
			return fmt.Errorf("%s: %d: expected 0 (not told) or more", name, n)
		}
	}
	classes, plans := map[string]bool{}, map[string]bool{}
	for i, c := range s.Classes {
		if c.Name == "" || classes[c.Name] {
			return fmt.Errorf("classes[%d].name: %q: expected one that no other class has", i, c.Name)
		}
		classes[c.Name] = true
	}
	for i, p := range s.Policies {
		if plans[p.Name] {
			return fmt.Errorf("policies[%d].name: %q: expected one that no other has", i, p.Name)
		}
		plans[p.Name] = true
	}
	return nil
}

// ParseSettings translates the settings of a start message. control.New validates the result.
func ParseSettings(text []byte) (control.Settings, error) {
	var message settingsMessage
	if err := json.Unmarshal(text, &message); err != nil {
		return control.Settings{}, fmt.Errorf("settings: %w", err)
	}
	if err := message.check(); err != nil {
		return control.Settings{}, fmt.Errorf("settings: %w", err)
	}
	settings := control.Settings{
		Hosts:     message.Balancers,
		MeanUnits: message.FamilyInfo.UnitMean, MaxUnits: message.FamilyInfo.MostUnits,
		ShareWorth: message.FamilyInfo.WithinShare, SpareWorth: message.FamilyInfo.IdleWorth,
		MeterSpan: duration(message.FamilyInfo.UsePeriodMS), Shards: message.FamilyInfo.SlotsTotal,
		MaxAttempts: message.Limits.MaxAttempts, MaxRetryAfter: duration(message.Limits.MaxRetryAfterMS),
		SecondCopies: message.Limits.SecondCopies, Cancelling: message.Limits.Cancelling,
		Probing: message.Limits.Probes, ProbePrice: message.Tariffs.Probe,
		DrainGrace:     duration(message.Safety.DrainGraceMS),
		WarmupDuration: duration(message.Safety.ColdMS), ColdCapacityFraction: message.Safety.StartCapacity,
		OverloadMultiple: message.Safety.OverloadFactor, OverloadSpan: duration(message.Safety.FallMS),
		ColdMinUnits:    message.FamilyInfo.ColdBears,
		RetryBudgetBase: message.Safety.BudgetFree, RetryBudgetRatio: message.Safety.ResendRatio,
		RetryBudgetSpan: duration(message.Safety.ResendSpanMS), OrderPause: duration(message.Safety.SettleAfterDoubtMS),
		ListOnRequest: message.Discovery == "on_request", MaxListRequestInterval: duration(message.Safety.MustAskInMS),
		LoadFields: message.Telemetry.Fields,
	}
	for i, c := range message.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return settings, fmt.Errorf("settings: classes[%d].effect: unknown kind %q", i, c.Effect)
		}
		group, ok := groups[c.DedupScope]
		if !ok {
			return settings, fmt.Errorf("settings: classes[%d].dedup_scope: unknown kind %q", i, c.DedupScope)
		}
		settings.Classes = append(settings.Classes, control.Class{Name: c.Name, Effect: effect, Group: group,
			Window: duration(c.WindowMS), Aim: duration(c.SloMS), Deadline: duration(c.DeadlineMS),
			Worth: c.Credit, LateWorth: c.LateWorth, InOrder: c.InOrder,
			Writes: i < len(message.FamilyInfo.Writes) && message.FamilyInfo.Writes[i]})
	}
	for _, p := range message.Policies {
		settings.Plans = append(settings.Plans, control.Plan{Name: p.Name, Nominal: p.Nominal, Price: p.Pays,
			Reserve: p.Reserve, Weight: p.Shares, LimitRate: p.Cap, LimitBurst: p.Burst, LimitSlack: p.Tolerance})
	}
	return settings, nil
}
