package simadapter

import (
	"encoding/hex"
	"math"
	"strings"

	"rooktrestle/balance"
	"rooktrestle/internal/settings"
)

// decoders decode the events of a frame, by the name of their message. A decoder returns nil for an event that the
// balancer does not use. Errors of single fields are stored in the message; the Input returned with one is not used.
var decoders = map[string]func(*Reader, *message) (Input, error){
	"POWER_ON":       decodeStart,
	"RETIRE":         decodeStop,
	"MEMBERSHIP":     decodeEndpointList,
	"WORK_ITEM":      decodeWorkItem,
	"RESULT":         decodeAttemptEnded,
	"HEALTH":         decodeProbeEnded,
	"ALARM":          decodeTimerFired,
	"VANISHED":       decodeClientDisconnected,
	"NEIGHBOUR_SAYS": decodeGossip,
	"STREAMING":      ignore,
}

// The protocol's names for values.
var (
	endpointStates = map[string]balance.EndpointState{
		"in_service":  balance.InService,
		"terminating": balance.Draining,
		"terminated":  balance.Removed,
	}
	listKinds = map[string]balance.ListKind{
		"F": balance.ListFull,
		"C": balance.ListStale,
		"D": balance.ListDelta,
		"X": balance.ListFailed,
	}
	attemptResults = map[string]balance.AttemptResult{
		"Ok":           balance.OK,
		"Failed":       balance.Failed,
		"QueueFull":    balance.QueueFull,
		"TimedOut":     balance.TimedOut,
		"ConnectError": balance.ConnectFailed,
		"ResetByPeer":  balance.Reset,
		"Canceled":     balance.Canceled,
		"Ignored":      balance.NotSent,
	}
)

func decodeStart(_ *Reader, m *message) (Input, error) {
	deployment, err := settings.Parse([]byte(m.text("env")))
	start := Start{Settings: deployment.BalancerSettings}
	start.Settings.Seed = m.unsigned("seed")
	if m.err != nil {
		return nil, nil
	}
	return start, err
}

func decodeStop(*Reader, *message) (Input, error) { return Stop{}, nil }

func decodeEndpointList(r *Reader, message *message) (Input, error) {
	list := balance.EndpointList{Kind: oneOf(message, "form", listKinds)}
	if message.err != nil || list.Kind == balance.ListFailed {
		return BalancerEvent{list}, nil
	}
	number := message.integerUpTo("list", maxListNumber)
	endpoints, defined := r.lists[number]
	if !defined && message.err == nil {
		message.fail("list %d is not defined", number)
	}
	list.Endpoints = endpoints
	return BalancerEvent{list}, nil
}

// decodeWorkItem decodes a part, or a query if its segment number is negative.
func decodeWorkItem(_ *Reader, message *message) (Input, error) {
	id := balance.ID(message.unsigned("handle"))
	group := message.unsigned("group_no")
	shard := message.integer("segment_no")
	hint := message.timeOr("hint", 0)
	if shard >= 0 {
		return BalancerEvent{balance.Part{
			ID:       id,
			Group:    group,
			Shard:    shard,
			Weight:   message.number("heft"),
			WorkHint: hint,
		}}, nil
	}
	return BalancerEvent{balance.Query{
		ID:            id,
		Group:         group,
		Class:         message.integerUpTo("class", math.MaxInt32),
		Tenant:        message.integerOrZero("billing"),
		Key:           message.textOr("resource", ""),
		WorkHint:      hint,
		RemainingTime: message.time("grace"),
		IsRetry:       message.integerOrZero("is_retry") != 0,
		Parts:         int(message.number("heft")),
	}}, nil
}

func decodeAttemptEnded(_ *Reader, message *message) (Input, error) {
	return BalancerEvent{balance.AttemptEnded{
		Part:    balance.ID(message.unsigned("handle")),
		Attempt: message.integerUpTo("shot", math.MaxInt32),
		Replica: balance.Replica(message.text("server")),
		Result:  oneOf(message, "outcome", attemptResults),
		Elapsed: message.time("lag"),
		Report:  message.report("metrics"),
	}}, nil
}

func decodeProbeEnded(_ *Reader, m *message) (Input, error) {
	return BalancerEvent{balance.ProbeEnded{
		Replica: balance.Replica(m.text("server")),
		Result:  oneOf(m, "outcome", attemptResults),
		Elapsed: m.time("lag"),
		Report:  m.report("metrics"),
	}}, nil
}

func decodeTimerFired(_ *Reader, m *message) (Input, error) {
	m.unsigned("handle") // required, although there is only one timer
	return BalancerEvent{balance.TimerFired{}}, nil
}

func decodeClientDisconnected(_ *Reader, m *message) (Input, error) {
	return BalancerEvent{balance.ClientDisconnected{Query: balance.ID(m.unsigned("handle"))}}, nil
}

// decodeGossip decodes a gossip message of another instance. A corrupt one is passed on as empty, as the balancer drops
// invalid messages.
func decodeGossip(_ *Reader, m *message) (Input, error) {
	payload, err := hex.DecodeString(strings.TrimPrefix(m.textOr("msg", ""), "-"))
	if err != nil {
		payload = nil
	}
	return BalancerEvent{balance.GossipReceived{Payload: payload}}, nil
}

// ignore is the decoder of messages that the balancer does not use.
func ignore(*Reader, *message) (Input, error) { return nil, nil }

// endpoint decodes a SERVER message, an entry of an endpoint list.
func (m *message) endpoint() balance.Endpoint {
	return balance.Endpoint{
		Replica: balance.Replica(m.text("server")),
		Zone:    m.integerOrZero("area"),
		Cell:    m.integerOrZero("set_no"),
		Size:    m.numberOr("size", 1),
		State:   oneOf(m, "phase", endpointStates),
		Started: m.timeOr("last_start", 0),
	}
}
