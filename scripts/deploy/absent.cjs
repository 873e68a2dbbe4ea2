// Stands for the optional add-ons of bunyan, which the gateway has no use for: looked up at each start they cost time.
module.exports = null;
