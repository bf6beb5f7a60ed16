package main

// class is one class of queries in the settings.
type class struct {
	name          string
	effect        string
	aim, deadline float64 // seconds
	worth, late   float64
	memory        float64 // seconds; of a keyed class
	floor         float64
}

// settingsOptions are what the cases vary of the settings object.
type settingsOptions struct {
	classes   []class
	tenants   []string
	cells     int
	inARow    int
	shards    int
	mixers    int
	rank      int
	fields    []string
	how       string
	maxOpen   int
	coldFrom  float64
	tip       float64
	fall      float64 // seconds
	peers     bool
	zones     []string
	sendCap   int
	marks     bool
	callParts int
	call      int // microseconds
}

func micros(seconds float64) int { return int(seconds * 1e6) }

// settings returns the settings object, in the form of the example on the WIRE page.
func settings(o settingsOptions) map[string]any {
	var classes, tenants []any
	var floors, worths, needs []float64
	var followUps []int
	for _, c := range o.classes {
		classes = append(classes, map[string]any{
			"aim": micros(c.aim), "credit": c.worth, "deadline": micros(c.deadline), "effect": c.effect,
			"key_scope": "all", "late_worth": c.late, "memory_span": micros(c.memory), "name": c.name, "stream": false,
		})
		floors = append(floors, c.floor)
		worths = append(worths, 0.9)
		needs = append(needs, 1)
		followUps = append(followUps, 0)
	}
	for _, name := range o.tenants {
		tenants = append(tenants, map[string]any{"name": name, "quota_per_s": 12.0, "share": 1 / float64(len(o.tenants))})
	}
	return map[string]any{
		"callers":     map[string]any{"marks_retry": o.marks},
		"classes":     classes,
		"counted_by":  "request",
		"domain_type": "fanout",
		"extra": map[string]any{"call": o.call, "cells": o.cells, "class_floor": floors, "follow_up": followUps, "in_a_row": o.inARow,
			"incomplete_worth": worths, "need_by_class": needs, "per_call": o.callParts, "slices": o.shards, "warm_keys": false},
		"goal":  map[string]any{"whole": 0.55, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.15},
		"kinds": []string{"m2"},
		"layer": 0,
		"limits": map[string]any{"cancel": true, "conn_idle": 15000000, "connect_timeout": 250000, "cpu_us_per_request": 0.0,
			"cpu_us_per_s": 400000, "max_open": o.maxOpen, "max_retry_after": 1000000, "peer_messages": o.peers, "probing": true,
			"retry_after": false, "second_copies": false, "send_cap": o.sendCap, "streams_per_conn": 100},
		"load_info":        map[string]any{"fields": o.fields, "how": o.how},
		"n_instances":      o.mixers,
		"orgs":             tenants,
		"over_share_worth": 0.1,
		"prices": map[string]any{"connection": 0.0, "cross_zone": 0.013, "handshake": 0.02, "late_fail": 0.037, "moves": 0.0,
			"origin": 0.0, "peer": 0.013, "probe": 0.011, "registry_mode": 0.0, "waste": 0.025},
		"rank":          o.rank,
		"registry_mode": "pushed",
		"rules": map[string]any{"cold": 16000000, "cold_from": o.coldFrom, "fall": micros(o.fall), "grace_to_answer": 20000,
			"must_ask_in": 10000000, "stop_sending_within": 250000, "tip_multiple": o.tip},
		"stages":  []string{"search"},
		"tick":    5000,
		"weights": "silent",
		"zone":    0,
		"zones":   o.zones,
	}
}

// addisSettings are the settings of a mixer of the second deployment, in small.
func addisSettings(mixers, rank, cells int) map[string]any {
	return settings(settingsOptions{
		classes: []class{
			{name: "station-lookup", effect: "safe", aim: 1.5, deadline: 4, worth: 1, floor: 1, memory: 5},
			{name: "calibration-log", effect: "keyed", aim: 1.5, deadline: 5, worth: 1, late: 0.3, memory: 5, floor: 1},
			{name: "city-report", effect: "safe", aim: 1.5, deadline: 4, worth: 2, late: 0.3, memory: 5, floor: 0.7},
		},
		tenants: []string{"city-health", "transport-bureau", "environment-desk"},
		cells:   cells, inARow: 1, shards: 4 * cells, mixers: mixers, rank: rank,
		fields: []string{"busy_reqs"}, how: "piggyback", maxOpen: 115, coldFrom: 0.18, tip: 2.5, fall: 1,
		zones: []string{"a", "b", "c"}, sendCap: 4, marks: true, callParts: 4, call: 36000,
	})
}

// nodeOptions are what the cases vary of a mixer's configuration.
type nodeOptions struct {
	name, listen, discovery, control string
	known                            map[string]any
	settings                         map[string]any
}

// nodeConfig returns a mixer's configuration file.
func nodeConfig(o nodeOptions) string {
	config := map[string]any{
		"name": o.name, "listen": o.listen, "discovery": o.discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  o.known, "settings": o.settings,
	}
	if o.control != "" {
		config["control"] = o.control
	}
	return toJSON(config)
}
