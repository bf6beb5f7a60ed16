// Package shardmapsource watches a source of shard maps: a file, or an HTTP service with long polling. It reports what
// it reads without validating it; whether a map may replace the current one is up to the receiver, which must not
// block.
package shardmapsource

// Update is a report of a source: the text of a map, nothing newer, or an error.
type Update struct {
	Source string // path of the file, or host:port of the service
	Text   []byte // owned by the receiver; nil: nothing newer than requested
	Err    error  // why the source could not be read
}
