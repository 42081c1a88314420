// Package rollout brings the engines of an availability zone to the model, adapter and version that their deployments
// name, by idempotent orders under the zone's lease.
package rollout
