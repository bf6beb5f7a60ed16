// Package shardmap assigns the shards of an archive to servers, and changes the assignment safely while queries run.
//
// A Map is one epoch of the assignment: shards, each with a range of keys, a stable id, a state and replicas. Only
// legal successions of maps are accepted (Map.ValidateSuccession). Views pin each query to an epoch, and QueryPlacement
// decides how a query proceeds if a server rejects a part because the map has changed. Plans are the successions that
// migrate, split and merge shards safely, and a Rollout carries one out.
//
// Settings, files and the command line call a shard a block and its replicas holders; JSON keys and texts for operators
// use those words.
//
// The package does no I/O, reads no clock and starts no goroutine.
package shardmap
