flete {
}
fleet {
  requests {
    rate  = per_minit(100)
    flor  = 3
    burst = local.burst
  }
  book "kalahari-core" {}
  shop "x" { rate = 2 }
  class "advance-release" {
    requests { rate = worth("advance-relese") }
  }
  book "a/b" { share = 1 }
  book "*" {
    requests { rate = 10 }
  }
}
