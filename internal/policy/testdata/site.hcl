# The site's limits: 2,400 requests a second in the day, over three sites and seven books.
clock = "+02:00"

locals {
  fleet  = 2400
  shares = {
    kalahari-core     = percent(30)
    namib-factors     = percent(25)
    oshana-credit     = percent(17)
    erongo-trade      = percent(11)
    kalahari-agri     = percent(8)
    kunene-mining     = percent(5)
    otjozondjupa-sme  = percent(4)
  }
}

defaults {
  safe    = percent(25)
  status  = 429
  wait    = "2s"
}

fleet {
  requests {
    rate    = local.fleet
    burst   = 600
    reserve = percent(10)     # for requests with priority alone
    status  = 503
    wait    = "1s"
    at {
      last_days = 3           # month end
      rate      = 1.5 * local.fleet
    }
    at {
      from = "22:00"
      to   = "05:00"
      rate = local.fleet / 2  # the night's batches have the rest
    }
  }
  work { rate = seconds(48) }             # 48 cores
  open { most = 3000 }
  repeats { part = percent(10) }          # of the requests

  dynamic "book" {
    for_each = local.shares
    labels   = [book.key]
    content {
      share = book.value
      class "payment-post" {
        priority = "always"
        key {                             # nobody posts faster than this to one account
          rate  = per_minute(120)
          burst = 10
          slots = 1024
        }
      }
      class "aging-report" {
        priority = "never"
        requests { part = percent(20) }
      }
    }
  }
  book "*" {                              # all others together, of what is left over
    requests { rate = per_minute(600) }
  }
}

degrade "reports first" {
  above  = percent(5)
  below  = percent(2)
  refuse = ["aging-report"]
  wait   = "30s"
}

degrade "then views" {
  above  = percent(20)
  refuse = ["ledger-view"]
}
