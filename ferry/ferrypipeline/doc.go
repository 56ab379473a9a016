// Package ferrypipeline chooses the engines that run a stream, takes it over their failures without a token lost or given twice, and checks that each layer ran once and in order.
package ferrypipeline
