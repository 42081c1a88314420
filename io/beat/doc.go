// Package beat carries the regular messages between entry instances in datagrams, which need no connections and whose
// loss does no harm.
package beat
