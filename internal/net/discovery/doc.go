// Package discovery watches the list of leaf servers that a discovery service publishes over HTTP/1.1.
//
// The service answers two requests. GET /v1/servers returns the complete list once; GET
// /v1/servers?stream=1&index=VERSION is a watch: it streams every change after VERSION as one JSON object each, and
// sends an empty line as a heartbeat while nothing changes. A Watcher keeps one watch open, resumes it from the last
// version that it received, reconnects after failures, and delivers each change as an aggregator.EndpointsChanged.
//
// Package listwatch decides when to reconnect, and when a watch that sends nothing counts as unresponsive.
package discovery
