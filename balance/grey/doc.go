// Package grey detects grey failures: hosts that fail some of their attempts, with errors or by never answering, while
// they serve the others (gray failure; Huang et al., HotOS 2017). It is pure: the caller passes ages and reports how
// each attempt ended. Its types aren't safe for concurrent use. Package balance is its only caller.
//
// It estimates two quantities:
//
//   - The probability that a pending attempt hangs (will never be answered). Bayes' rule compares a late answer with no
//     answer, given the present latency of the class, the number of later attempts that the host has answered, and the
//     share of the host's earlier attempts that hung.
//   - The share of a host's attempts that fails. The estimate is shrunk toward the present failure rates of the same
//     classes at the host's peers. A fault that all hosts share, such as a class that fails everywhere or a dependency
//     that is down, is therefore not attributed to any one of them.
//
// An attempt that ends without an answer is no proof of a hang: it counts as a failure with the probability that it
// hung as its weight. All evidence decays, so that a host without traffic is tried again. docs/design/grey-failures.md
// has the options and the measurements.
package grey
