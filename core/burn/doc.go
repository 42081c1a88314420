// Package burn counts requests and batch items against their service-level objectives and evaluates burn-rate alerts.
//
// The error budget of an objective is 1 minus its target. A burn rate of 1 spends the budget exactly as fast as the
// target allows. Each alert compares a long and a short window, so that it stops firing soon after its cause has ended.
package burn
