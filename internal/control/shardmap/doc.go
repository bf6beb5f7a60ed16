// Package shardmap decides which servers hold which part of an archive while that changes.
//
// A Map is one epoch of the assignment: shards, each a range of keys with a stable id, a state and the replicas
// that hold it. Only legal successions of maps are accepted (Map.ValidateSuccession). Views pin an epoch for each
// query, and QueryPlacement decides what becomes of a query's parts when the map changes under it. Plans are the
// successions that migrate, split and merge shards safely, and a Rollout carries one out.
//
// Settings, files and the command line call a shard a block and its replicas holders; those words are kept in JSON keys
// and in the texts that operators read.
//
// The package does no I/O, reads no clock and starts no goroutine.
package shardmap
