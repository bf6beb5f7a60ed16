// Package shardmapsource watches the source of shard maps: a file, or an HTTP service with long poll. It reports what it
// reads, good or bad; whether a map may follow the present one is decided elsewhere. Reports must not block it.
package shardmapsource

// Update is a report of a source: the text of a map, that there is nothing newer, or an error.
type Update struct {
	Source string // path of the file, or host:port of the service
	Text   []byte // the receiver's to keep; nil: nothing newer than was requested
	Err    error  // why the source could not be read
}
